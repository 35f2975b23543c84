/** Records of known attempts, so that "not run" can be proved and no attempt runs twice. */
import type { Clock, Ran } from '@jasmineroute/core';
import type { Run } from './run.js';

/** The record of an attempt. */
export type AttemptRecord =
  | { readonly type: 'run'; readonly run: Run }
  /** A run whose events are no longer kept. */
  | { readonly type: 'ended'; readonly ran: Ran }
  | { readonly type: 'cancelled' };

/** Most attempts in memory. */
const MAX_ATTEMPTS = 65_536;

interface RememberedAttempt {
  readonly record: AttemptRecord;
  /** Monotonic time at which the record expires; undefined while the attempt runs. */
  until: number | undefined;
}

/**
 * Attempts by id, each kept for a window longer than any message can be delayed. Within the window, a Run that
 * arrives after its Cancel is refused, and a Run that arrives twice is executed once. When the limit is reached,
 * no record is dropped before its time; new attempts are refused instead.
 */
export class Attempts {
  private readonly remembered = new Map<string, RememberedAttempt>();
  private readonly running = new Set<Run>();

  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
    private readonly limit = MAX_ATTEMPTS,
  ) {}

  /** The record of an attempt. */
  find(attemptId: string): AttemptRecord | undefined {
    this.removeExpired();
    return this.remembered.get(attemptId)?.record;
  }

  /** Runs that have not ended. */
  open(): Iterable<Run> {
    return this.running;
  }

  /** Records a run. @returns false when the limit is reached; then the run must not start. */
  begin(attemptId: string, run: Run): boolean {
    if (!this.add(attemptId, { record: { type: 'run', run }, until: undefined })) return false;
    this.running.add(run);
    return true;
  }

  /** Records the end of a run, which starts its window. */
  end(attemptId: string, run: Run): void {
    this.running.delete(run);
    // Moved to the end of the map, which is ordered by `until`.
    this.remembered.delete(attemptId);
    const until = this.clock.monotonic() + this.windowMs;
    this.remembered.set(attemptId, { record: { type: 'run', run }, until });
  }

  /** Keeps only the outcome of an ended run, as the events of a whole window would take too much memory. */
  dropEvents(attemptId: string, ran: Ran): void {
    const entry = this.remembered.get(attemptId);
    if (entry !== undefined) this.remembered.set(attemptId, { ...entry, record: { type: 'ended', ran } });
  }

  /** Records that an unknown attempt must never run. @returns false when the limit is reached. */
  recordCancelled(attemptId: string): boolean {
    return this.add(attemptId, {
      record: { type: 'cancelled' },
      until: this.clock.monotonic() + this.windowMs,
    });
  }

  private add(attemptId: string, entry: RememberedAttempt): boolean {
    this.removeExpired();
    if (this.remembered.size >= this.limit) return false;
    this.remembered.set(attemptId, entry);
    return true;
  }

  private removeExpired(): void {
    const now = this.clock.monotonic();
    for (const [attemptId, { until }] of this.remembered) {
      if (until === undefined) continue;
      if (until > now) return;
      this.remembered.delete(attemptId);
    }
  }
}
