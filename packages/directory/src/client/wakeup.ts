/** A sleep that can be interrupted. */
import type { Clock } from '@jasmineroute/core';

/** Wakes one sleeping task. A trigger while no task sleeps ends the next sleep at once. */
export class Wakeup {
  private pending = false;
  private wake: (() => void) | undefined;

  /** Ends the current or the next sleep. */
  trigger(): void {
    this.pending = true;
    this.wake?.();
  }

  /** Resolves after `ms` milliseconds, after `trigger`, or when `signal` is aborted. */
  async sleep(clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    if (!this.pending && !signal.aborted) await this.wait(clock, ms, signal);
    this.pending = false;
  }

  private wait(clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
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
