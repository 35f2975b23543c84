/** The clock of one process that can stand still while time goes on. For tests. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/**
 * While the process stands still, timers and arrivals wait. Afterwards all timers that are overdue come first, as in Node's
 * event loop, which polls for input only behind them.
 */
export class ProcessClock implements Clock {
  private stalledUntil = -Infinity;
  private readonly timers: (() => void)[] = [];
  private readonly arrivals: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  /** Whether something that falls due now has to wait. */
  get isStalled(): boolean {
    return this.monotonic() < this.stalledUntil || this.timers.length + this.arrivals.length > 0;
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
      }, this.timers);
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Resolves when the process takes what has arrived. */
  turn(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve, this.arrivals);
    });
  }

  /** The process stands still for so long. */
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

  /** One action a step of the clock, so that what it starts settles before the next one. */
  private resume(): void {
    if (this.monotonic() < this.stalledUntil) return;
    const action = this.timers.shift() ?? this.arrivals.shift();
    if (action === undefined) return;
    action();
    this.clock.after(0, () => {
      this.resume();
    });
  }
}
