/** Lets some tasks through at a time. */
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from './changeSignal.js';

/** Longest time that a place is held, in milliseconds. */
const HOLD_MS = 3_000;

/** Gives a place back. Calling it twice is harmless. */
export type Leave = () => void;

/**
 * A bounded number of places; the others wait. A place that is held for too long is free again: a watcher that
 * reads nothing holds up its own stream for good, and a few of them would hold up everybody's.
 */
export class Turnstile {
  private held = 0;
  private readonly freed = new ChangeSignal();

  constructor(
    private readonly places: number,
    private readonly clock: Clock,
  ) {}

  /** Takes a place; undefined when none is free. */
  enter(): Leave | undefined {
    if (this.held >= this.places) return undefined;
    this.held += 1;
    let inside = true;
    const leave = (): void => {
      if (!inside) return;
      inside = false;
      cancel();
      this.held -= 1;
      this.freed.raise();
    };
    const cancel = this.clock.after(HOLD_MS, leave);
    return leave;
  }

  /** Resolves when a place may be free, after `ms` milliseconds, or when `signal` is aborted. */
  wait(ms: number, signal: AbortSignal): Promise<void> {
    return this.freed.wait(this.clock, ms, signal);
  }
}
