/** Time that an observer was awake. */
import type { Clock } from '@jasmineroute/core';

/**
 * Monotonic time without the observer's own pauses.
 *
 * When the observer's process is stopped for some seconds (a suspended machine, a long collection of garbage, a
 * starved processor), all beats of that time wait unread. On waking, a detector on plain time would find every
 * member silent for seconds and evict them all. It shows as a gap between two steps of the observer that is far
 * longer than its tick; such a gap counts as one tick here, so the beats that waited are read first.
 */
export class ObserverTime {
  private last: number;
  private paused = 0;

  constructor(
    private readonly clock: Clock,
    private readonly tickMs: number,
    private readonly pauseMs: number,
  ) {
    this.last = clock.monotonic();
  }

  /** Milliseconds awake. Every step of the observer reads it. */
  now(): number {
    const time = this.clock.monotonic();
    const gap = time - this.last;
    this.last = time;
    if (gap > this.pauseMs) this.paused += gap - this.tickMs;
    return time - this.paused;
  }
}
