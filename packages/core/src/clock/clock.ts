/** Port for time, so that tests can control it. */

/** Source of time. Durations are measured with monotonic time; wall-clock time must not be used to order events. */
export interface Clock {
  /** Wall-clock time. It may jump. */
  now(): Date;
  /** Milliseconds since an arbitrary start; never goes back. */
  monotonic(): number;
  /** Resolves after `ms` milliseconds, or rejects with the signal's reason when aborted before. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls `action` once after `ms` milliseconds. Returns a function that cancels it. */
  after(ms: number, action: () => void): Cancellation;
}

/** Cancels a timer. Calling it twice is harmless. */
export type Cancellation = () => void;
