/** Time during which an observer was running. */
import type { Clock } from '@jasmineroute/core';

/**
 * Monotonic time without the observer's own pauses.
 *
 * When the observer's process is stopped for some seconds (a suspended machine, a long garbage collection, no
 * processor time), the heartbeats of that time stay unread. A detector on plain monotonic time would then find every
 * member silent for seconds and evict all of them. A pause shows as a gap between two readings that is far longer
 * than the tick; it counts as one tick here, so that the pending heartbeats are read first.
 */
export class ObserverTime {
  private last: number;
  private pausedMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly tickMs: number,
    private readonly pauseMs: number,
  ) {
    this.last = clock.monotonic();
  }

  /** Milliseconds without pauses. Every step of the observer reads it. */
  now(): number {
    const time = this.clock.monotonic();
    const gap = time - this.last;
    this.last = time;
    if (gap > this.pauseMs) this.pausedMs += gap - this.tickMs;
    return time - this.pausedMs;
  }
}
