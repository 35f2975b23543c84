/** Timers that do not expire because of a stall of the process. */
import type { Cancellation, Clock } from './clock.js';

/** A wait is split into parts. A part that takes `STALL_FACTOR` times its duration or longer was stalled. */
const PARTS = 5;
const STALL_FACTOR = 2;

/**
 * Calls `action` once after `ms` milliseconds during which this process was running. Input that arrives during a stall is read
 * only after it, and after the timers that fell due meanwhile, so a plain timer would expire although a response has already
 * arrived. Stalls at most double the number of parts.
 */
export function afterActive(clock: Clock, ms: number, action: () => void): Cancellation {
  const partMs = ms / PARTS;
  let remainingParts = PARTS;
  let remainingStalledParts = PARTS;
  let cancel: Cancellation = () => undefined;
  const next = (): void => {
    const startedAt = clock.monotonic();
    cancel = clock.after(partMs, () => {
      const isStalled = clock.monotonic() - startedAt >= partMs * STALL_FACTOR;
      if (isStalled && remainingStalledParts > 0) remainingStalledParts -= 1;
      else remainingParts -= 1;
      if (remainingParts > 0) next();
      else action();
    });
  };
  next();
  return () => {
    cancel();
  };
}
