/** Notices a stream that has gone silent. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/**
 * Calls `bite` once nothing was heard for `silenceMs` while somebody listened. One timer for each stream,
 * not for each event: the hot path only notes the time.
 */
export class Watchdog {
  private heardAt: number;
  private listening = true;
  private calledOff: Cancellation;

  constructor(
    private readonly clock: Clock,
    private readonly silenceMs: number,
    private readonly bite: () => void,
  ) {
    this.heardAt = clock.monotonic();
    this.calledOff = clock.after(silenceMs, () => {
      this.check();
    });
  }

  /** Something came. */
  heard(): void {
    this.heardAt = this.clock.monotonic();
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

  private check(): void {
    const silent = this.listening ? this.clock.monotonic() - this.heardAt : 0;
    if (silent >= this.silenceMs) {
      this.bite();
      return;
    }
    this.calledOff = this.clock.after(this.silenceMs - silent, () => {
      this.check();
    });
  }
}
