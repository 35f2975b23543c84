/** Bounds the number of tasks that do something at one time. */
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from './changeSignal.js';

/** Longest time that a permit is held, in milliseconds. */
const HOLD_MS = 3_000;

/** Gives a permit back. Calling it twice is harmless. */
export type Release = () => void;

/**
 * A bounded number of permits. One that is held for too long is free again: a watcher that reads nothing holds up
 * its own stream for good, and a few of them would hold up everybody's.
 */
export class Semaphore {
  private held = 0;
  private readonly freed = new ChangeSignal();

  constructor(
    private readonly permits: number,
    private readonly clock: Clock,
  ) {}

  /** Takes a permit; undefined when none is free. */
  acquire(): Release | undefined {
    if (this.held >= this.permits) return undefined;
    this.held += 1;
    let holding = true;
    const release = (): void => {
      if (!holding) return;
      holding = false;
      cancel();
      this.held -= 1;
      this.freed.raise();
    };
    const cancel = this.clock.after(HOLD_MS, release);
    return release;
  }

  /** Resolves when a permit may be free, after `ms` milliseconds, or when `signal` is aborted. */
  wait(ms: number, signal: AbortSignal): Promise<void> {
    return this.freed.wait(this.clock, ms, signal);
  }
}
