/** Wakes waiting tasks on a change. */
import type { Clock } from '@jasmineroute/core';

/** Lets tasks wait until a change, a timeout or an abort. */
export class ChangeSignal {
  private waiters = new Set<() => void>();

  /** Wakes all tasks that wait now. */
  raise(): void {
    const waiters = this.waiters;
    this.waiters = new Set();
    for (const wake of waiters) wake();
  }

  /** Resolves after `raise`, after `ms` milliseconds, or when `signal` is aborted. */
  wait(clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = (): void => {
        this.waiters.delete(wake);
        cancel();
        signal.removeEventListener('abort', wake);
        resolve();
      };
      const cancel = clock.after(ms, wake);
      signal.addEventListener('abort', wake, { once: true });
      this.waiters.add(wake);
    });
  }
}
