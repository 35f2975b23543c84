/** Keeps a watch on documents and instances, switching between sources. */
import { directoryEvents } from '../events.js';
import { directoryMetrics } from '../metrics.js';
import { WatchStream } from './watchStream.js';
import type { WatchContext, WatchOutcome, WatchLimits, WatchedSource } from './watchStream.js';

/** Factor by which the limit for instances without a quorum grows after a round in which none had one. */
const UNVOUCHED_BACKOFF_FACTOR = 2;
/** Maximum of that limit, in milliseconds. */
const MAX_UNVOUCHED_MS = 30_000;
/** Maximum wait for the first event, as a multiple of the silence limit. */
const MAX_FIRST_EVENT_FACTOR = 4;
/** Maximum delay after the first failure, in milliseconds. Spreads out the watchers of an instance that stopped. */
const INITIAL_BACKOFF_MS = 200;
/** Maximum delay before the first watch, in milliseconds. Spreads out processes that start together. */
const START_JITTER_MS = 100;

/** Watches one source at a time. */
export class WatchTask {
  private failures = 0;
  private unvouchedMs: number;

  constructor(private readonly context: WatchContext) {
    this.unvouchedMs = context.timing.unvouchedMs;
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await this.pause(START_JITTER_MS, signal);
    while (!signal.aborted) {
      await this.watchControls(signal);
      await this.watchNeighbour(signal);
    }
  }

  /** Tries each control instance in turn, and starts over after each one that was in touch with a quorum. */
  private async watchControls(signal: AbortSignal): Promise<void> {
    const { addresses, dataCentre, timing } = this.context;
    const tried = new Set<string>();
    for (;;) {
      const address = addresses.order(dataCentre()).find((one) => !tried.has(one));
      if (address === undefined || signal.aborted) break;
      const outcome = await this.watchSource({ address, kind: 'control' }, signal);
      if (outcome.vouched) {
        tried.clear();
        this.unvouchedMs = timing.unvouchedMs;
      }
      tried.add(address);
      await this.pauseAfter(outcome, signal);
    }
    // When no instance has a quorum, switching every two seconds would only add load to the remaining ones.
    this.unvouchedMs = Math.min(MAX_UNVOUCHED_MS, this.unvouchedMs * UNVOUCHED_BACKOFF_FACTOR);
  }

  private async watchNeighbour(signal: AbortSignal): Promise<void> {
    const candidates = this.context.neighbours();
    const address = candidates[Math.floor(Math.random() * candidates.length)];
    if (signal.aborted) return;
    if (address === undefined) await this.backOff(signal);
    else await this.pauseAfter(await this.watchSource({ address, kind: 'neighbour' }, signal), signal);
  }

  /**
   * Time limits of the next watch. The wait for the first event grows with each failure: under load all sources are
   * slow, and leaving each one before it answers would only add to the load.
   */
  private limits(): WatchLimits {
    const { silenceMs } = this.context.timing;
    const firstEventMs = silenceMs * Math.min(MAX_FIRST_EVENT_FACTOR, 1 + this.failures);
    return { unvouchedMs: this.unvouchedMs, firstEventMs };
  }

  private async watchSource(source: WatchedSource, signal: AbortSignal): Promise<WatchOutcome> {
    const { addresses, log, metrics, onSourceLost } = this.context;
    const { address, kind } = source;
    const outcome = await new WatchStream(this.context, source, this.limits()).run(signal);
    if (outcome.end === 'stopped') return outcome;
    onSourceLost();
    metrics.count(directoryMetrics.watchMoves, 1, { reason: outcome.end });
    if (outcome.end !== 'misfit') addresses.recordFailure(address);
    if (outcome.end === 'silent') {
      log.event(directoryEvents.watchSilent, { address });
      if (kind === 'neighbour' || this.isConnectionSilent(address)) this.dropConnection(address);
    }
    if (outcome.end === 'unvouched') log.event(directoryEvents.watchWithoutQuorum, { address });
    return outcome;
  }

  /** Whether the whole connection is silent, not only the watch: no other call on it was answered either. */
  private isConnectionSilent(address: string): boolean {
    const { addresses, timing } = this.context;
    return addresses.unansweredMs(address) > timing.silenceMs / 2;
  }

  private dropConnection(address: string): void {
    this.context.peers.drop(address);
    this.context.addresses.recordDisconnect(address);
  }

  /** Waits before the next watch; the backoff starts over after a watch that was in touch with a quorum. */
  private async pauseAfter(outcome: WatchOutcome, signal: AbortSignal): Promise<void> {
    if (outcome.vouched) this.failures = 0;
    await this.backOff(signal);
  }

  /** Waits a random time with a limit that grows with consecutive failures, so that clients do not return at once. */
  private async backOff(signal: AbortSignal): Promise<void> {
    const longest = INITIAL_BACKOFF_MS * 2 ** Math.min(this.failures, 10);
    this.failures += 1;
    await this.pause(Math.min(this.context.timing.retryMs, longest), signal);
  }

  private async pause(longestMs: number, signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(longestMs * Math.random(), signal).catch(() => undefined);
  }
}
