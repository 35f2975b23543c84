/** Detects a stream that has gone silent. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/** Lateness of a timer that does not count as a stall of the process, milliseconds. */
const TIMER_TOLERANCE_MS = 20;

/**
 * Calls `onSilence` when no event has arrived for `silenceMs` while the stream was being read. There is one timer for
 * each stream, not for each event: the hot path only records the time.
 *
 * Time in which this process was stalled does not count. After a long stall, timers run before sockets are read, so
 * every stream would look silent, all connections would be closed, and resuming all streams at once would cause the
 * next stall.
 */
export class Watchdog {
  private lastEventAt: number;
  private isReading = true;
  private cancelTimer: Cancellation = () => undefined;
  /** Monotonic time at which the timer should run. */
  private dueAt = 0;
  /** Milliseconds since `lastEventAt` in which the process was stalled. */
  private stalledMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly silenceMs: number,
    private readonly onSilence: () => void,
  ) {
    this.lastEventAt = clock.monotonic();
    this.arm(silenceMs);
  }

  /** Records that an event arrived. */
  reset(): void {
    this.lastEventAt = this.clock.monotonic();
    this.stalledMs = 0;
  }

  /** Suspends the check while the stream is not being read. */
  pause(): void {
    this.isReading = false;
  }

  /** Restarts the check when reading continues. */
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
