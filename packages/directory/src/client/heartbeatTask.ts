/** Sends the heartbeats of a process to control instances. */
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

/** Random variation of the heartbeat interval, as a share of it. */
const JITTER = 0.1;
/** Control instances tried per heartbeat. Under load all are slow, and trying each of them would add to the load. */
const MAX_ATTEMPTS = 2;
/** Delay after the first unanswered heartbeat, as a multiple of the interval. */
const FIRST_RETRY_FACTOR = 0.25;
/** Maximum delay between unanswered heartbeats, as a multiple of the interval. */
const MAX_RETRY_FACTOR = 4;

/** Dependencies of the heartbeat task. */
export interface HeartbeatContext {
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: ClientTiming;
  readonly addresses: ControlAddresses;
  readonly state: AnnouncedState;
  readonly dataCentre: () => string;
  /** Revision of the documents that this process has applied. */
  readonly revision: () => bigint;
  /** Called when a newer process uses the name. */
  readonly superseded: () => void;
}

/** Sends heartbeats to one control instance and switches to another when it does not answer. */
export class HeartbeatTask {
  private readonly wakeup = new Wakeup();
  private address: string | undefined;
  /** Consecutive rounds without an answer. */
  private failures = 0;
  /** The newest acknowledged sequence number and the control instance that acknowledged it. */
  private lastAcknowledged: { address: string; sequence: bigint } | undefined;
  private unvouchedSince: number | undefined;
  private readonly waiters = new Set<{ sequence: bigint; resolve: () => void }>();

  constructor(private readonly context: HeartbeatContext) {}

  /** Sends a heartbeat at once. */
  wake(): void {
    this.wakeup.trigger();
  }

  /** Resolves when a state with this or a higher sequence number is acknowledged. */
  waitForAcknowledgement(sequence: bigint): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.add({ sequence, resolve });
      this.wake();
    });
  }

  /** Runs until `signal` is aborted or a newer process uses the name. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    while (!signal.aborted) {
      const superseded = await this.sendRound(signal);
      if (superseded) return;
      await this.wakeup.sleep(clock, jittered(this.delayMs(), JITTER), signal);
    }
  }

  /** Short after the first failure, as observers measure the silence; grows with each further failure. */
  private delayMs(): number {
    const { beatMs } = this.context.timing;
    if (this.failures === 0) return beatMs;
    return beatMs * Math.min(MAX_RETRY_FACTOR, FIRST_RETRY_FACTOR * 2 ** (this.failures - 1));
  }

  /** Sends one heartbeat, trying control instances until one answers. Returns whether this process is superseded. */
  private async sendRound(signal: AbortSignal): Promise<boolean> {
    const { addresses, dataCentre } = this.context;
    const order = addresses.order(dataCentre());
    const candidates =
      this.address === undefined ? order : [this.address, ...order.filter((one) => one !== this.address)];
    for (const address of candidates.slice(0, MAX_ATTEMPTS)) {
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
      this.checkQuorum(answer.vouched);
      return false;
    }
    this.address = undefined;
    this.failures += 1;
    return false;
  }

  private async send(address: string, stop: AbortSignal): Promise<controlMessage.BeatResponse | undefined> {
    const { clock, metrics, timing, state, peers, addresses } = this.context;
    const sequence = state.currentSequence();
    const isAcknowledged =
      this.lastAcknowledged?.address === address && this.lastAcknowledged.sequence === sequence;
    const request = state.heartbeat(!isAcknowledged, this.context.revision());
    const limit = new CallLimit(stop).after(clock, timing.beatTimeoutMs);
    const started = clock.monotonic();
    addresses.recordRequest(address);
    try {
      const client = createClient(controlMessage.Directory, peers.transport(address));
      const answer = await client.beat(request, { signal: limit.signal });
      metrics.timing(directoryMetrics.beatDuration, clock.monotonic() - started);
      addresses.recordResponse(address);
      this.recordAcknowledgement(address, sequence, answer);
      return answer;
    } catch (error) {
      if (!stop.aborted) this.recordFailure(address, error);
      return undefined;
    } finally {
      limit.release();
    }
  }

  private recordAcknowledgement(
    address: string,
    sequence: bigint,
    answer: controlMessage.BeatResponse,
  ): void {
    this.lastAcknowledged = answer.resend ? undefined : { address, sequence };
    if (answer.resend) return;
    for (const waiter of this.waiters) {
      if (waiter.sequence > sequence) continue;
      this.waiters.delete(waiter);
      waiter.resolve();
    }
  }

  private recordFailure(address: string, error: unknown): void {
    const { addresses, metrics, log, peers, timing } = this.context;
    log.event(directoryEvents.heartbeatFailed, { address, problem: faultOf(error).message });
    metrics.count(directoryMetrics.beatFailures);
    addresses.recordFailure(address);
    // A connection on which no call is answered may be dead without an error; the next heartbeat opens a new one.
    if (addresses.unansweredMs(address) <= timing.silenceMs) return;
    peers.drop(address);
    addresses.recordDisconnect(address);
  }

  /**
   * Switches away from a control instance that has lost its quorum. It cannot pass heartbeats on to the other control
   * instances, which would consider this process failed.
   */
  private checkQuorum(vouched: boolean): void {
    const { clock, timing, addresses } = this.context;
    if (vouched) {
      this.unvouchedSince = undefined;
      return;
    }
    this.unvouchedSince ??= clock.monotonic();
    if (clock.monotonic() - this.unvouchedSince < timing.unvouchedMs) return;
    this.unvouchedSince = undefined;
    if (this.address !== undefined) addresses.recordFailure(this.address);
    this.address = undefined;
  }
}
