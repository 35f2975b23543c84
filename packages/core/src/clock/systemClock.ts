import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import type { Cancellation, Clock } from './clock.js';

/** Longest time that a timer of the runtime takes, milliseconds; it would fire at once for a longer one. */
const MAX_TIMER_MS = 2_147_483_647;

/** The runtime drops fractions of a millisecond. */
const timerMs = (ms: number): number => Math.min(MAX_TIMER_MS, Math.max(0, Math.ceil(ms)));

/** Waits for the rest where a timer fires early: the runtime counts whole milliseconds of its own time. */
async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  const due = performance.now() + ms;
  let restMs = ms;
  do {
    await delay(timerMs(restMs), undefined, { signal });
    restMs = due - performance.now();
  } while (restMs > 0);
}

/** As `sleep`, with an action. */
function after(ms: number, action: () => void): Cancellation {
  const due = performance.now() + ms;
  const fire = (): void => {
    const restMs = due - performance.now();
    if (restMs > 0) timer = setTimeout(fire, timerMs(restMs));
    else action();
  };
  let timer = setTimeout(fire, timerMs(ms));
  return () => {
    clearTimeout(timer);
  };
}

/** The system's clock and timers. */
export const systemClock: Clock = {
  now: () => new Date(),
  monotonic: () => performance.now(),
  sleep,
  after,
};
