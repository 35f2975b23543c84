/** Aborts calls after a timeout or when their task stops. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/**
 * Abort signal of one call. Its listener on the task's signal is removed when the call is over, because
 * `AbortSignal.any` would leak memory on the task's signal with each call.
 */
export class CallLimit {
  private readonly controller = new AbortController();
  private readonly onStop = (): void => {
    this.controller.abort(this.stop?.reason);
  };
  private cancelTimeout: Cancellation = () => undefined;

  /** @param stop signal of the task that makes the call */
  constructor(private readonly stop?: AbortSignal) {
    if (stop?.aborted === true) this.onStop();
    stop?.addEventListener('abort', this.onStop, { once: true });
  }

  /** Signal to pass to the call. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Aborts the call after `ms` milliseconds. Calling it again restarts the timeout. */
  after(clock: Clock, ms: number): this {
    this.cancelTimeout();
    this.cancelTimeout = clock.after(ms, () => {
      this.abort('no answer in time');
    });
    return this;
  }

  /** Aborts the call now. */
  abort(reason: string): void {
    this.controller.abort(new Error(reason));
  }

  /** Releases the timer and the listener when the call is over. */
  release(): void {
    this.cancelTimeout();
    this.stop?.removeEventListener('abort', this.onStop);
  }
}
