/**
 * Follows the engine's cache events into the index: a snapshot first, then the events after it. After a gap the
 * index vouches for nothing older, goes on with what comes, and is read anew when the next snapshot is due.
 */
import type { Cancellation, Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import { brokenStreamFault } from '@jasmineroute/engine';
import type { Engine } from '@jasmineroute/engine';
import type { Applied, BlockIndex } from '@jasmineroute/routing';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import { agentMetrics } from '../metrics.js';

/** Pause before a lost stream is opened anew; doubled while that goes on. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5_000;

/** Shortest time between two snapshots after gaps: an engine that loses many events is not read all the time. */
const SNAPSHOT_INTERVAL_MS = 5_000;

/** Longest wait for a snapshot. */
const SNAPSHOT_TIMEOUT_MS = 10_000;

/** What the watch needs. */
export interface CacheWatchOptions {
  readonly engine: Engine;
  readonly index: BlockIndex;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** An incarnation that nobody has named: worth a look at the engine. */
  readonly onUnknown: () => void;
}

/** The watch. Started anew for each incarnation of the engine. */
export class CacheWatch {
  private pauseMs = MIN_PAUSE_MS;
  /** Earliest time of the next snapshot after a gap. */
  private nextSnapshot = 0;

  constructor(private readonly options: CacheWatchOptions) {}

  /** Follows one incarnation until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { engine, clock, log } = this.options;
    if (engine.cacheEvents === undefined || engine.cacheSnapshot === undefined) return;
    this.pauseMs = MIN_PAUSE_MS;
    const stopped = (): boolean => signal.aborted;
    while (!stopped()) {
      const synchronised = await this.synchronise(signal);
      const ended = synchronised.isErr() ? synchronised.error : await this.tail(signal);
      if (stopped()) return;
      log.event(agentEvents.cacheLost, { reason: ended.message });
      await clock.sleep(this.pauseMs, signal).catch(() => undefined);
      this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
    }
  }

  /** Reads the whole cache. */
  private async synchronise(signal: AbortSignal): Promise<Result<void, Fault>> {
    const { engine, index, clock, log, onUnknown } = this.options;
    const bound = new AbortController();
    const calledOff = clock.after(SNAPSHOT_TIMEOUT_MS, () => {
      bound.abort(new Error('no snapshot in time'));
    });
    const snapshot = await engine.cacheSnapshot?.(AbortSignal.any([signal, bound.signal]));
    calledOff();
    if (snapshot === undefined) return err(brokenStreamFault(new Error('the engine has no snapshots')));
    if (snapshot.isErr()) return err(snapshot.error);
    if (!index.restore(snapshot.value)) {
      onUnknown();
      return err(brokenStreamFault(new Error('the snapshot is of another incarnation')));
    }
    log.event(agentEvents.cacheSynchronised, { sequence: index.sequence, ...index.counts() });
    return ok();
  }

  /** Takes events up until their stream ends, or until a snapshot is due after a gap. */
  private async tail(signal: AbortSignal): Promise<Fault> {
    const { engine, index, clock } = this.options;
    const round = new AbortController();
    let calledOff: Cancellation | undefined;
    try {
      // From the last one that is known: whether an engine counts it in or not, none is missed.
      const bound = AbortSignal.any([signal, round.signal]);
      for await (const event of engine.cacheEvents?.(index.sequence, bound) ?? []) {
        this.note(index.apply(event), event.sequence);
        this.pauseMs = MIN_PAUSE_MS;
        if (index.synchronised || calledOff !== undefined) continue;
        calledOff = clock.after(this.nextSnapshot - clock.monotonic(), () => {
          round.abort(new Error('a snapshot is due after a gap'));
        });
        this.nextSnapshot = Math.max(clock.monotonic(), this.nextSnapshot) + SNAPSHOT_INTERVAL_MS;
      }
      return brokenStreamFault(new Error('the stream of cache events ended'));
    } catch (error) {
      return brokenStreamFault(error);
    } finally {
      calledOff?.();
    }
  }

  private note(applied: Applied, sequence: number): void {
    const { metrics, log, onUnknown } = this.options;
    if (applied === 'unknown-incarnation') onUnknown();
    if (applied !== 'gap') return;
    metrics.count(agentMetrics.cacheGaps);
    log.event(agentEvents.cacheGap, { sequence });
  }
}
