/** The task that keeps a process known. */
import { createClient } from '@connectrpc/connect';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { controlMessage, faultOf } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { ControlAddresses } from '../call/index.js';
import { CallLimit } from '../call/index.js';
import { directoryEvents } from '../events.js';
import { directoryMetrics } from '../metrics.js';
import type { AnnouncedState } from './announcement.js';
import { jittered } from './timing.js';
import type { ClientTiming } from './timing.js';
import { Wakeup } from './wakeup.js';

/** Share by which the time between beats varies. */
const JITTER = 0.1;
/** Instances that are tried for one beat. Under load all are slow, and trying each would add to it. */
const TRIES = 2;
/** Wait after the first beat that nobody answers, in times of the usual one. */
const FIRST_WAIT_FACTOR = 0.25;
/** Longest wait between beats that nobody answers, in times of the usual one. */
const MAX_WAIT_FACTOR = 4;

/** What the task works with. */
export interface BeatContext {
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: ClientTiming;
  readonly addresses: ControlAddresses;
  readonly state: AnnouncedState;
  readonly dataCentre: () => string;
  /** Revision of the documents in force here. */
  readonly revision: () => bigint;
  /** A newer process has the name. */
  readonly superseded: () => void;
}

/** Sends beats, one after the other, to one control instance, and to another when that does not answer. */
export class BeatTask {
  private readonly wakeup = new Wakeup();
  private address: string | undefined;
  /** Rounds in a row without an answer. */
  private failures = 0;
  /** Order number of the newest state that was taken, by the instance that took it. */
  private heard: { address: string; sequence: bigint } | undefined;
  private unvouchedSince: number | undefined;
  private readonly waiters = new Set<{ sequence: bigint; resolve: () => void }>();

  constructor(private readonly context: BeatContext) {}

  /** Sends a beat at once. */
  wake(): void {
    this.wakeup.call();
  }

  /** Resolves when the state of this order number, or a later one, was taken. */
  taken(sequence: bigint): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.add({ sequence, resolve });
      this.wake();
    });
  }

  /** Runs until `signal` is aborted or a newer process has the name. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    while (!signal.aborted) {
      const superseded = await this.round(signal);
      if (superseded) return;
      await this.wakeup.sleep(clock, jittered(this.waitMs(), JITTER), signal);
    }
  }

  /** Soon again after the first failure, as observers count the time; later with each further one. */
  private waitMs(): number {
    const { beatMs } = this.context.timing;
    if (this.failures === 0) return beatMs;
    return beatMs * Math.min(MAX_WAIT_FACTOR, FIRST_WAIT_FACTOR * 2 ** (this.failures - 1));
  }

  /** Goes through the control instances until one answers. */
  private async round(signal: AbortSignal): Promise<boolean> {
    const { addresses, dataCentre } = this.context;
    const order = addresses.order(dataCentre());
    const candidates =
      this.address === undefined ? order : [this.address, ...order.filter((one) => one !== this.address)];
    for (const address of candidates.slice(0, TRIES)) {
      if (signal.aborted) return false;
      const answer = await this.send(address, signal);
      if (answer === undefined) continue;
      this.address = address;
      this.failures = 0;
      if (answer.superseded) {
        this.context.superseded();
        return true;
      }
      if (answer.resend) this.wake();
      this.judge(answer.vouched);
      return false;
    }
    this.address = undefined;
    this.failures += 1;
    return false;
  }

  private async send(address: string, stop: AbortSignal): Promise<controlMessage.BeatResponse | undefined> {
    const { clock, metrics, timing, state, peers, addresses } = this.context;
    const sequence = state.current();
    const known = this.heard?.address === address && this.heard.sequence === sequence;
    const request = state.beat(!known, this.context.revision());
    const limit = new CallLimit(stop).after(clock, timing.beatTimeoutMs);
    const started = clock.monotonic();
    addresses.asked(address);
    try {
      const client = createClient(controlMessage.Directory, peers.transport(address));
      const answer = await client.beat(request, { signal: limit.signal });
      metrics.timing(directoryMetrics.beatDuration, clock.monotonic() - started);
      addresses.answered(address);
      this.settle(address, sequence, answer);
      return answer;
    } catch (error) {
      if (!stop.aborted) this.failed(address, error);
      return undefined;
    } finally {
      limit.release();
    }
  }

  private settle(address: string, sequence: bigint, answer: controlMessage.BeatResponse): void {
    this.heard = answer.resend ? undefined : { address, sequence };
    if (answer.resend) return;
    for (const waiter of this.waiters) {
      if (waiter.sequence > sequence) continue;
      this.waiters.delete(waiter);
      waiter.resolve();
    }
  }

  private failed(address: string, error: unknown): void {
    const { addresses, metrics, log, peers, timing } = this.context;
    log.event(directoryEvents.heartbeatFailed, { address, problem: faultOf(error).message });
    metrics.count(directoryMetrics.beatFailures);
    addresses.failed(address);
    // A connection on which nothing at all was heard may be silent for good: the next beat takes a new one.
    if (addresses.silentFor(address) <= timing.silenceMs) return;
    peers.drop(address);
    addresses.dropped(address);
  }

  /**
   * Leaves a control instance that is out of touch with its quorum: what it hears of this process does not
   * reach the others, which would think it gone.
   */
  private judge(vouched: boolean): void {
    const { clock, timing, addresses } = this.context;
    if (vouched) {
      this.unvouchedSince = undefined;
      return;
    }
    this.unvouchedSince ??= clock.monotonic();
    if (clock.monotonic() - this.unvouchedSince < timing.unvouchedMs) return;
    this.unvouchedSince = undefined;
    if (this.address !== undefined) addresses.failed(this.address);
    this.address = undefined;
  }
}
