/** Which attempts have been here: the memory that makes "not run" provable and "twice" impossible. */
import type { Clock, Ran } from '@jasmineroute/core';
import type { Run } from './run.js';

/** What is remembered of an attempt. */
export type AttemptRecord =
  | { readonly type: 'run'; readonly run: Run }
  /** A run whose events are not kept any more. */
  | { readonly type: 'ended'; readonly ran: Ran }
  | { readonly type: 'cancelled' };

/** Most attempts that are remembered. */
const MAX_ATTEMPTS = 65_536;

interface Remembered {
  readonly record: AttemptRecord;
  /** When it may be forgotten; undefined while it runs. */
  until: number | undefined;
}

/**
 * Attempts by id, each for a window that is longer than any message can be on its way. Within it, a Run that
 * arrives after its Cancel is refused, and one that arrives twice is run once. When the memory is full of
 * young entries, nothing is forgotten: new ones are not taken instead.
 */
export class Attempts {
  private readonly remembered = new Map<string, Remembered>();
  private readonly running = new Set<Run>();

  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
    private readonly limit = MAX_ATTEMPTS,
  ) {}

  /** The record of an attempt. */
  find(attemptId: string): AttemptRecord | undefined {
    this.forget();
    return this.remembered.get(attemptId)?.record;
  }

  /** Runs that have not ended. */
  open(): Iterable<Run> {
    return this.running;
  }

  /** Records a run. @returns false when the memory is full; then the run must not start. */
  begin(attemptId: string, run: Run): boolean {
    if (!this.add(attemptId, { record: { type: 'run', run }, until: undefined })) return false;
    this.running.add(run);
    return true;
  }

  /** A run has ended; from here on its window runs. */
  end(attemptId: string, run: Run): void {
    this.running.delete(run);
    // To the end of the map, which is in the order of `until`.
    this.remembered.delete(attemptId);
    const until = this.clock.monotonic() + this.windowMs;
    this.remembered.set(attemptId, { record: { type: 'run', run }, until });
  }

  /** Keeps of an ended run only how it went: its events would fill the memory within the window. */
  strip(attemptId: string, ran: Ran): void {
    const entry = this.remembered.get(attemptId);
    if (entry !== undefined) this.remembered.set(attemptId, { ...entry, record: { type: 'ended', ran } });
  }

  /** Records that an unknown attempt must never run. @returns false when the memory is full. */
  cancelUnknown(attemptId: string): boolean {
    return this.add(attemptId, {
      record: { type: 'cancelled' },
      until: this.clock.monotonic() + this.windowMs,
    });
  }

  private add(attemptId: string, entry: Remembered): boolean {
    this.forget();
    if (this.remembered.size >= this.limit) return false;
    this.remembered.set(attemptId, entry);
    return true;
  }

  private forget(): void {
    const now = this.clock.monotonic();
    for (const [attemptId, { until }] of this.remembered) {
      if (until === undefined) continue;
      if (until > now) return;
      this.remembered.delete(attemptId);
    }
  }
}
