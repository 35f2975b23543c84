/** Notices a stream that has gone silent. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/** Lateness of a timer that says nothing, milliseconds. */
const TIMER_SLACK_MS = 20;

/**
 * Calls `bite` once nothing was heard for `silenceMs` while somebody listened. One timer for each stream,
 * not for each event: the hot path only notes the time.
 *
 * Time in which this process itself stood still does not count. After a long pause timers run before sockets
 * are read: every stream would look silent, all connections would be cut, and resuming all streams at once
 * would make the next pause.
 */
export class Watchdog {
  private heardAt: number;
  private listening = true;
  private calledOff: Cancellation = () => undefined;
  /** Monotonic time at which the timer is due. */
  private due = 0;
  /** Milliseconds since `heardAt` in which nothing could be heard. */
  private deafMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly silenceMs: number,
    private readonly bite: () => void,
  ) {
    this.heardAt = clock.monotonic();
    this.arm(silenceMs);
  }

  /** Something came. */
  heard(): void {
    this.heardAt = this.clock.monotonic();
    this.deafMs = 0;
  }

  /** Nobody reads for now, so silence says nothing. */
  pause(): void {
    this.listening = false;
  }

  /** Reading goes on. */
  resume(): void {
    this.listening = true;
    this.heard();
  }

  stop(): void {
    this.calledOff();
  }

  private arm(ms: number): void {
    this.due = this.clock.monotonic() + ms;
    this.calledOff = this.clock.after(ms, () => {
      this.check();
    });
  }

  private check(): void {
    const now = this.clock.monotonic();
    const late = now - this.due;
    if (late > TIMER_SLACK_MS) this.deafMs += late;
    const silent = this.listening ? now - this.heardAt - this.deafMs : 0;
    if (silent >= this.silenceMs) this.bite();
    else this.arm(this.silenceMs - silent);
  }
}
