/**
 * Applies the engine's cache events to the index: first a snapshot, then the events that follow it. After a gap the
 * index no longer counts older blocks as certain, applies later events, and is restored when the next snapshot is due.
 */
import type { Cancellation, Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import { brokenStreamFault } from '@jasmineroute/engine';
import type { Engine } from '@jasmineroute/engine';
import type { Applied, BlockIndex } from '@jasmineroute/routing';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import { agentMetrics } from '../metrics.js';

/** Backoff before an ended stream is opened again. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5_000;

/** Shortest time between two snapshots after gaps, so that an engine that loses many events is not read constantly. */
const SNAPSHOT_INTERVAL_MS = 5_000;

/** Timeout of reading a snapshot. */
const SNAPSHOT_TIMEOUT_MS = 10_000;

/** Dependencies of a cache synchroniser. */
export interface CacheSynchroniserOptions {
  readonly engine: Engine;
  readonly index: BlockIndex;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called for an event or snapshot of an unknown incarnation, to check the engine at once. */
  readonly onUnknownIncarnation: () => void;
}

/** Keeps the index in step with the cache. `run` is called for each incarnation of the engine. */
export class CacheSynchroniser {
  private pauseMs = MIN_PAUSE_MS;
  /** Earliest monotonic time of the next snapshot after a gap. */
  private nextSnapshotAt = 0;

  constructor(private readonly options: CacheSynchroniserOptions) {}

  /** Follows the cache of one incarnation until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { engine, clock, log } = this.options;
    if (engine.cacheEvents === undefined || engine.cacheSnapshot === undefined) return;
    this.pauseMs = MIN_PAUSE_MS;
    const stopped = (): boolean => signal.aborted;
    while (!stopped()) {
      const synchronised = await this.synchronise(signal);
      const ended = synchronised.isErr() ? synchronised.error : await this.followEvents(signal);
      if (stopped()) return;
      log.event(agentEvents.cacheLost, { reason: ended.message });
      await clock.sleep(this.pauseMs, signal).catch(() => undefined);
      this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
    }
  }

  /** Restores the index from a snapshot. */
  private async synchronise(signal: AbortSignal): Promise<Result<void, Fault>> {
    const { engine, index, clock, log, onUnknownIncarnation } = this.options;
    const timeout = new AbortController();
    const cancelTimer = clock.after(SNAPSHOT_TIMEOUT_MS, () => {
      timeout.abort(new Error('the engine sent no snapshot in time'));
    });
    const snapshot = await engine.cacheSnapshot?.(AbortSignal.any([signal, timeout.signal]));
    cancelTimer();
    if (snapshot === undefined)
      return err(brokenStreamFault(new Error('the engine does not support cache snapshots')));
    if (snapshot.isErr()) return err(snapshot.error);
    if (!index.restore(snapshot.value)) {
      onUnknownIncarnation();
      return err(brokenStreamFault(new Error('the snapshot belongs to another incarnation')));
    }
    log.event(agentEvents.cacheSynchronised, { sequence: index.sequence, ...index.counts() });
    return ok();
  }

  /** Applies events until their stream ends or a snapshot is due after a gap. @returns why it ended. */
  private async followEvents(signal: AbortSignal): Promise<Fault> {
    const { engine, index, clock } = this.options;
    const snapshotDue = new AbortController();
    let cancelTimer: Cancellation | undefined;
    try {
      // Starts at the last known event, so that none is missed whether an engine includes that event or not.
      const streamSignal = AbortSignal.any([signal, snapshotDue.signal]);
      for await (const event of engine.cacheEvents?.(index.sequence, streamSignal) ?? []) {
        this.recordOutcome(index.apply(event), event.sequence);
        this.pauseMs = MIN_PAUSE_MS;
        if (index.synchronised || cancelTimer !== undefined) continue;
        cancelTimer = clock.after(this.nextSnapshotAt - clock.monotonic(), () => {
          snapshotDue.abort(new Error('a snapshot is due after a gap'));
        });
        this.nextSnapshotAt = Math.max(clock.monotonic(), this.nextSnapshotAt) + SNAPSHOT_INTERVAL_MS;
      }
      return brokenStreamFault(new Error('the stream of cache events ended'));
    } catch (error) {
      return brokenStreamFault(error);
    } finally {
      cancelTimer?.();
    }
  }

  private recordOutcome(applied: Applied, sequence: number): void {
    const { metrics, log, onUnknownIncarnation } = this.options;
    if (applied === 'unknown-incarnation') onUnknownIncarnation();
    if (applied !== 'gap') return;
    metrics.count(agentMetrics.cacheGaps);
    log.event(agentEvents.cacheGap, { sequence });
  }
}
