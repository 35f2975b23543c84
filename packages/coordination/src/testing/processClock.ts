/** Clock of a process that can be suspended while time advances. For tests. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/**
 * While the process is suspended, timers and input are pending. Afterwards all overdue timers run first, as in Node's event
 * loop, which polls for input only after them.
 */
export class ProcessClock implements Clock {
  private stalledUntil = -Infinity;
  private readonly overdueTimers: (() => void)[] = [];
  private readonly pendingInput: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  /** Whether timers and input that are due now have to wait. */
  get isStalled(): boolean {
    return this.monotonic() < this.stalledUntil || this.overdueTimers.length + this.pendingInput.length > 0;
  }

  now(): Date {
    return this.clock.now();
  }

  monotonic(): number {
    return this.clock.monotonic();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const abort = (): void => {
        cancel();
        reject(signal?.reason instanceof Error ? signal.reason : new Error('aborted'));
      };
      const cancel = this.after(ms, () => {
        signal?.removeEventListener('abort', abort);
        resolve();
      });
      signal?.addEventListener('abort', abort, { once: true });
    });
  }

  after(ms: number, action: () => void): Cancellation {
    let isCancelled = false;
    const cancel = this.clock.after(ms, () => {
      this.run(() => {
        if (!isCancelled) action();
      }, this.overdueTimers);
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Resolves when the process reads the input that arrives now. */
  waitForInput(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve, this.pendingInput);
    });
  }

  /** Suspends the process for `ms` milliseconds. */
  stall(ms: number): void {
    this.stalledUntil = Math.max(this.stalledUntil, this.monotonic() + ms);
    this.clock.after(ms, () => {
      this.resume();
    });
  }

  private run(action: () => void, queue: (() => void)[]): void {
    if (this.isStalled) queue.push(action);
    else action();
  }

  /** Runs one action per step of the clock, so that its promises settle before the next one. */
  private resume(): void {
    if (this.monotonic() < this.stalledUntil) return;
    const action = this.overdueTimers.shift() ?? this.pendingInput.shift();
    if (action === undefined) return;
    action();
    this.clock.after(0, () => {
      this.resume();
    });
  }
}
