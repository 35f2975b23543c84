/** The task that follows documents and instances. */
import { directoryEvents } from '../events.js';
import { directoryMetrics } from '../metrics.js';
import { WatchStream } from './watchStream.js';
import type { WatchContext, WatchOutcome, WatchLimits, WatchedSource } from './watchStream.js';

/** How much longer a round without a vouched instance makes the stays of the next. */
const UNVOUCHED_GROWTH = 2;
/** Longest stay with an unvouched instance while all are. */
const MAX_UNVOUCHED_MS = 30_000;
/** Longest wait for a first event, in times of the bound on silence. */
const MAX_FIRST_EVENT_FACTOR = 4;
/** Longest pause after the first failure: it spreads the watchers of an instance that went. */
const FIRST_PAUSE_MS = 200;
/** Longest pause before the first watch: it spreads processes that start together. */
const START_PAUSE_MS = 100;

/** Watches one source after the other. */
export class WatchTask {
  private failures = 0;
  private unvouchedMs: number;

  constructor(private readonly context: WatchContext) {
    this.unvouchedMs = context.timing.unvouchedMs;
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await this.pause(START_PAUSE_MS, signal);
    while (!signal.aborted) {
      await this.controlRound(signal);
      await this.neighbourTurn(signal);
    }
  }

  /** Goes through the control instances, and begins anew after each that was good. */
  private async controlRound(signal: AbortSignal): Promise<void> {
    const { addresses, dataCentre, timing } = this.context;
    const tried = new Set<string>();
    for (;;) {
      const address = addresses.order(dataCentre()).find((one) => !tried.has(one));
      if (address === undefined || signal.aborted) break;
      const outcome = await this.stay({ address, kind: 'control' }, signal);
      if (outcome.vouched) {
        tried.clear();
        this.unvouchedMs = timing.unvouchedMs;
      }
      tried.add(address);
      await this.rest(outcome, signal);
    }
    // Without a quorum anywhere, moving on every two seconds would only load the instances that are left.
    this.unvouchedMs = Math.min(MAX_UNVOUCHED_MS, this.unvouchedMs * UNVOUCHED_GROWTH);
  }

  private async neighbourTurn(signal: AbortSignal): Promise<void> {
    const candidates = this.context.neighbours();
    const address = candidates[Math.floor(Math.random() * candidates.length)];
    if (signal.aborted) return;
    if (address === undefined) await this.backOff(signal);
    else await this.rest(await this.stay({ address, kind: 'neighbour' }, signal), signal);
  }

  /**
   * Longer for the first event after each failure: under load all sources are slow, and leaving each before it
   * answers would only add to the load.
   */
  private limits(): WatchLimits {
    const { silenceMs } = this.context.timing;
    const firstEventMs = silenceMs * Math.min(MAX_FIRST_EVENT_FACTOR, 1 + this.failures);
    return { unvouchedMs: this.unvouchedMs, firstEventMs };
  }

  private async stay(source: WatchedSource, signal: AbortSignal): Promise<WatchOutcome> {
    const { addresses, log, metrics, lost } = this.context;
    const { address, kind } = source;
    const outcome = await new WatchStream(this.context, source, this.limits()).run(signal);
    if (outcome.end === 'stopped') return outcome;
    lost();
    metrics.count(directoryMetrics.watchMoves, 1, { reason: outcome.end });
    if (outcome.end !== 'misfit') addresses.failed(address);
    if (outcome.end === 'silent') {
      log.event(directoryEvents.watchSilent, { address });
      if (kind === 'neighbour' || this.isDead(address)) this.drop(address);
    }
    if (outcome.end === 'unvouched') log.event(directoryEvents.watchWithoutQuorum, { address });
    return outcome;
  }

  /** Whether the connection is silent, not the watch alone: nothing else was answered on it either. */
  private isDead(address: string): boolean {
    const { addresses, timing } = this.context;
    return addresses.silentFor(address) > timing.silenceMs / 2;
  }

  private drop(address: string): void {
    this.context.peers.drop(address);
    this.context.addresses.dropped(address);
  }

  /** After a good watch the next one comes soon; otherwise later with each failure in a row. */
  private async rest(outcome: WatchOutcome, signal: AbortSignal): Promise<void> {
    if (outcome.vouched) this.failures = 0;
    await this.backOff(signal);
  }

  /** A random wait that grows with the failures in a row, so that a herd does not come back at one time. */
  private async backOff(signal: AbortSignal): Promise<void> {
    const longest = FIRST_PAUSE_MS * 2 ** Math.min(this.failures, 10);
    this.failures += 1;
    await this.pause(Math.min(this.context.timing.retryMs, longest), signal);
  }

  private async pause(longestMs: number, signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(longestMs * Math.random(), signal).catch(() => undefined);
  }
}
