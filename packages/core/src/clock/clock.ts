/** Time as a port, so that tests decide what time it is. */

/** Source of time. Wall-clock time never decides an order; the monotonic one measures durations. */
export interface Clock {
  /** Wall-clock time. It may jump. */
  now(): Date;
  /** Milliseconds since an arbitrary start; never goes back. */
  monotonic(): number;
  /** Resolves after `ms` milliseconds, or rejects with the signal's reason when aborted before. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls `action` once after `ms` milliseconds. Returns the way to call it off. */
  after(ms: number, action: () => void): Cancellation;
}

/** Calls off a timer. Calling it twice is harmless. */
export type Cancellation = () => void;
