/** Ends calls: after a time, or with the task that made them. */
import type { Cancellation, Clock } from '@jasmineroute/core';

/**
 * A signal for one call. It is taken off the task's own signal when the call is over: `AbortSignal.any` would leave
 * something behind on that one for each call, for as long as the process lives.
 */
export class CallLimit {
  private readonly controller = new AbortController();
  private readonly stopped = (): void => {
    this.controller.abort(this.stop?.reason);
  };
  private cancel: Cancellation = () => undefined;

  /** @param stop signal of the task that makes the call */
  constructor(private readonly stop?: AbortSignal) {
    if (stop?.aborted === true) this.stopped();
    stop?.addEventListener('abort', this.stopped, { once: true });
  }

  /** To give to the call. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Ends the call after `ms` milliseconds. A later call of it sets the time anew. */
  after(clock: Clock, ms: number): this {
    this.cancel();
    this.cancel = clock.after(ms, () => {
      this.abort('no answer in time');
    });
    return this;
  }

  /** Ends the call now. */
  abort(reason: string): void {
    this.controller.abort(new Error(reason));
  }

  /** The call is over. */
  release(): void {
    this.cancel();
    this.stop?.removeEventListener('abort', this.stopped);
  }
}
