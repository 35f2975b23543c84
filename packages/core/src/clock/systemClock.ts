import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from './clock.js';

/** Longest time that a timer of the runtime takes, milliseconds; it would fire at once for a longer one. */
const MAX_TIMER_MS = 2_147_483_647;

const timerMs = (ms: number): number => Math.min(MAX_TIMER_MS, Math.max(0, ms));

/** The system's clock and timers. */
export const systemClock: Clock = {
  now: () => new Date(),
  monotonic: () => performance.now(),
  sleep: async (ms, signal) => {
    await delay(timerMs(ms), undefined, { signal });
  },
  after: (ms, action) => {
    const timer = setTimeout(action, timerMs(ms));
    return () => {
      clearTimeout(timer);
    };
  },
};
