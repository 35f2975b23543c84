/** Limits the number of concurrent tasks. */
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from './changeSignal.js';

/** Time after which a permit is released automatically, in milliseconds. */
const MAX_HOLD_MS = 3_000;

/** Releases a permit. Further calls have no effect. */
export type Release = () => void;

/**
 * A semaphore whose permits expire. A watcher that stops reading blocks its own stream indefinitely, and without expiry
 * a few of them would block all other streams.
 */
export class Semaphore {
  private held = 0;
  private readonly freed = new ChangeSignal();

  constructor(
    private readonly permits: number,
    private readonly clock: Clock,
  ) {}

  /** Acquires a permit; undefined if none is free. */
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
    const cancel = this.clock.after(MAX_HOLD_MS, release);
    return release;
  }

  /** Resolves when a permit may be free, after `ms` milliseconds, or when `signal` is aborted. */
  wait(ms: number, signal: AbortSignal): Promise<void> {
    return this.freed.wait(this.clock, ms, signal);
  }
}
