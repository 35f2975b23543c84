/** A sleep that can be cut short. */
import type { Clock } from '@jasmineroute/core';

/** Wakes one sleeping task; a call while nobody sleeps cuts the next sleep short. */
export class Wakeup {
  private pending = false;
  private wake: (() => void) | undefined;

  /** Ends the sleep. */
  call(): void {
    this.pending = true;
    this.wake?.();
  }

  /** Resolves after `ms` milliseconds, after `call`, or when `signal` is aborted. */
  async sleep(clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    if (!this.pending && !signal.aborted) await this.rest(clock, ms, signal);
    this.pending = false;
  }

  private rest(clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        cancel();
        signal.removeEventListener('abort', end);
        this.wake = undefined;
        resolve();
      };
      const cancel = clock.after(ms, end);
      signal.addEventListener('abort', end, { once: true });
      this.wake = end;
    });
  }
}
