import type { Clock } from './clock.js';

interface Timer {
  readonly due: number;
  readonly action: () => void;
}

/** A clock that advances only when a test calls `advance`. */
export class ManualClock implements Clock {
  private elapsed = 0;
  private readonly timers = new Set<Timer>();

  constructor(private readonly start = new Date('2026-01-01T00:00:00Z')) {}

  now(): Date {
    return new Date(this.start.getTime() + this.elapsed);
  }

  monotonic(): number {
    return this.elapsed;
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

  after(ms: number, action: () => void): () => void {
    const timer = { due: this.elapsed + ms, action };
    this.timers.add(timer);
    return () => {
      this.timers.delete(timer);
    };
  }

  /** Advances time and runs the timers that fall due, in order, letting promises settle in between. */
  async advance(ms: number): Promise<void> {
    const end = this.elapsed + ms;
    for (;;) {
      const next = [...this.timers].filter((timer) => timer.due <= end).sort((a, b) => a.due - b.due)[0];
      if (next === undefined) break;
      this.timers.delete(next);
      this.elapsed = next.due;
      next.action();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.elapsed = end;
    await new Promise((resolve) => setImmediate(resolve));
  }
}
