/** The task that follows documents and instances. */
import { createClient } from '@connectrpc/connect';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { ControlAddresses } from '../call/index.js';
import { faultOf } from '../call/index.js';
import { directoryEvents } from '../events.js';
import { directoryMetrics } from '../metrics.js';
import { jittered } from './timing.js';
import type { ClientTiming } from './timing.js';

/** How much longer each fruitless move between unvouched instances makes the next stay. */
const PATIENCE_GROWTH = 2;
/** Longest stay with an unvouched instance while all are. */
const MAX_PATIENCE_MS = 30_000;
/** Longest pause after the first failure: it spreads the watchers of an instance that went. */
const FIRST_PAUSE_MS = 300;

/** Why a watch ended. */
export type WatchEnd = 'silent' | 'unvouched' | 'lost' | 'stopped' | 'misfit' | 'retry-controls';

/** What the task works with. */
export interface WatchContext {
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: ClientTiming;
  readonly addresses: ControlAddresses;
  readonly dataCentre: () => string;
  /** The request as the newest view asks for it. */
  readonly request: () => controlMessage.WatchRequest;
  /** Takes an event; false: it did not fit what is held, and all must be sent again. */
  readonly apply: (event: controlMessage.WatchEvent, fromControl: boolean) => boolean;
  /** The source is out of touch, so what is held may be old. */
  readonly lost: () => void;
  /** Addresses of processes that serve what they know while no control instance answers. */
  readonly neighbours: () => readonly string[];
}

/** Watches one source after the other. */
export class WatchTask {
  private failures = 0;
  private patienceMs: number;

  constructor(private readonly context: WatchContext) {
    this.patienceMs = context.timing.unvouchedMs;
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.controls(signal);
      await this.neighbour(signal);
    }
  }

  /** Goes through the control instances once; stays with each as long as it is good. */
  private async controls(signal: AbortSignal): Promise<void> {
    const { addresses, dataCentre } = this.context;
    const tried = new Set<string>();
    for (;;) {
      const address = addresses.order(dataCentre()).find((one) => !tried.has(one));
      if (address === undefined || signal.aborted) return;
      tried.add(address);
      const before = this.failures;
      await this.stay(address, true, signal);
      // It was good for a while: the others are worth another try.
      if (this.failures <= before) tried.clear();
      tried.add(address);
      await this.pause(signal);
    }
  }

  private async neighbour(signal: AbortSignal): Promise<void> {
    const candidates = this.context.neighbours();
    const address = candidates[Math.floor(Math.random() * candidates.length)];
    if (address === undefined || signal.aborted) return;
    await this.stay(address, false, signal);
    await this.pause(signal);
  }

  private async stay(address: string, control: boolean, signal: AbortSignal): Promise<void> {
    const { addresses, log, metrics, peers } = this.context;
    const end = await this.watch(address, control, signal);
    if (end === 'stopped') return;
    this.failures += 1;
    this.context.lost();
    addresses.failed(address);
    metrics.count(directoryMetrics.watchMoves, 1, { reason: end });
    if (end === 'silent') {
      log.event(directoryEvents.watchSilent, { address });
      peers.drop(address);
    }
    if (end === 'unvouched') {
      log.event(directoryEvents.watchUnvouched, { address });
      this.patienceMs = Math.min(MAX_PATIENCE_MS, this.patienceMs * PATIENCE_GROWTH);
    }
  }

  private async watch(address: string, control: boolean, stop: AbortSignal): Promise<WatchEnd> {
    const { clock, timing, peers, log } = this.context;
    const abort = new AbortController();
    let end: WatchEnd = 'lost';
    const giveUp = (reason: WatchEnd) => (): void => {
      end = reason;
      abort.abort(new Error(reason));
    };
    let silence = clock.after(timing.silenceMs, giveUp('silent'));
    const limit = control
      ? (): void => undefined
      : clock.after(jittered(timing.neighbourMs, 0.5), giveUp('retry-controls'));
    let unvouchedSince: number | undefined;
    let opened = false;
    try {
      const client = createClient(controlMessage.Directory, peers.transport(address));
      const options = { signal: AbortSignal.any([stop, abort.signal]) };
      for await (const event of client.watch(this.context.request(), options)) {
        silence();
        silence = clock.after(timing.silenceMs, giveUp('silent'));
        if (!opened) log.event(directoryEvents.watchOpened, { address, control });
        opened = true;
        if (!this.context.apply(event, control)) return 'misfit';
        if (!control) continue;
        this.context.addresses.answered(address);
        if (event.vouched) this.good();
        unvouchedSince = event.vouched ? undefined : (unvouchedSince ?? clock.monotonic());
        if (unvouchedSince !== undefined && clock.monotonic() - unvouchedSince > this.patienceMs)
          return 'unvouched';
      }
    } catch (error) {
      if (stop.aborted) return 'stopped';
      if (!abort.signal.aborted)
        log.event(directoryEvents.watchLost, { address, problem: faultOf(error).message });
    } finally {
      silence();
      limit();
      abort.abort();
    }
    return end;
  }

  private good(): void {
    this.failures = 0;
    this.patienceMs = this.context.timing.unvouchedMs;
  }

  /** A random wait that grows with the failures in a row, so that a herd does not come back at one time. */
  private async pause(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.context;
    const longest = Math.min(timing.retryMs, FIRST_PAUSE_MS * 2 ** Math.min(this.failures, 10));
    await clock.sleep(longest * Math.random(), signal).catch(() => undefined);
  }
}
