/** Notices a stream that has gone silent. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/** Lateness of a timer that says nothing, milliseconds. */
const TIMER_TOLERANCE_MS = 20;

/**
 * Calls `bite` once nothing was heard for `silenceMs` while somebody listened. One timer for each stream,
 * not for each event: the hot path only notes the time.
 *
 * Time in which this process itself stood still does not count. After a long pause timers run before sockets
 * are read: every stream would look silent, all connections would be cut, and resuming all streams at once
 * would make the next pause.
 */
export class Watchdog {
  private lastEventAt: number;
  private isReading = true;
  private cancelTimer: Cancellation = () => undefined;
  /** Monotonic time at which the timer is due. */
  private dueAt = 0;
  /** Milliseconds since `heardAt` in which nothing could be heard. */
  private stalledMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly silenceMs: number,
    private readonly onSilence: () => void,
  ) {
    this.lastEventAt = clock.monotonic();
    this.arm(silenceMs);
  }

  /** Something came. */
  reset(): void {
    this.lastEventAt = this.clock.monotonic();
    this.stalledMs = 0;
  }

  /** Nobody reads for now, so silence says nothing. */
  pause(): void {
    this.isReading = false;
  }

  /** Reading goes on. */
  resume(): void {
    this.isReading = true;
    this.reset();
  }

  stop(): void {
    this.cancelTimer();
  }

  private arm(ms: number): void {
    this.dueAt = this.clock.monotonic() + ms;
    this.cancelTimer = this.clock.after(ms, () => {
      this.check();
    });
  }

  private check(): void {
    const now = this.clock.monotonic();
    const late = now - this.dueAt;
    if (late > TIMER_TOLERANCE_MS) this.stalledMs += late;
    const silent = this.isReading ? now - this.lastEventAt - this.stalledMs : 0;
    if (silent >= this.silenceMs) this.onSilence();
    else this.arm(this.silenceMs - silent);
  }
}
