/** Waits that don't run out while the process stands still. */
import type { Cancellation, Clock } from './clock.js';

/** Parts of a wait. A part that takes twice its time or more has met a stall. */
const PARTS = 5;
const STALLED = 2;

/**
 * Calls `action` once after `ms` milliseconds in which this process was at work. What arrives during a stall is read only after
 * it, and after the timers that fell due meanwhile: a plain timer would run out beside an answer that is there already. Stalls
 * lengthen the wait to twice its time at most, counted in parts.
 */
export function afterActive(clock: Clock, ms: number, action: () => void): Cancellation {
  const partMs = ms / PARTS;
  let left = PARTS;
  let stalls = PARTS;
  let cancel: Cancellation = () => undefined;
  const next = (): void => {
    const begunAt = clock.monotonic();
    cancel = clock.after(partMs, () => {
      const isStalled = clock.monotonic() - begunAt >= partMs * STALLED;
      if (isStalled && stalls > 0) stalls -= 1;
      else left -= 1;
      if (left > 0) next();
      else action();
    });
  };
  next();
  return () => {
    cancel();
  };
}
