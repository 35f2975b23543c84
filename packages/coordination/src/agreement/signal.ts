/** Synchronization of asynchronous tasks. */
import type { Clock } from '@jasmineroute/core';

/** Condition variable: wakes waiting tasks after a change, so that they check their condition again. */
export class Signal {
  private readonly waiting = new Set<() => void>();

  /** Wakes all tasks that are waiting. */
  notify(): void {
    const woken = [...this.waiting];
    this.waiting.clear();
    for (const wake of woken) wake();
  }

  /** Resolves at the next `notify`. */
  wait(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.add(resolve);
    });
  }

  /** Resolves at the next `notify`, or after `ms` milliseconds. */
  waitFor(clock: Clock, ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        cancel();
        resolve();
      };
      const cancel = clock.after(ms, () => {
        this.waiting.delete(wake);
        resolve();
      });
      this.waiting.add(wake);
    });
  }
}

/** Runs actions one at a time, in the order of the calls. */
export class Mutex {
  private last: Promise<unknown> = Promise.resolve();

  run<T>(action: () => Promise<T>): Promise<T> {
    const result = this.last.then(action);
    this.last = result.catch(() => undefined);
    return result;
  }
}
