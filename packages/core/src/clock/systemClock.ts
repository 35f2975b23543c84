import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from './clock.js';

/** The system's clock and timers. */
export const systemClock: Clock = {
  now: () => new Date(),
  monotonic: () => performance.now(),
  sleep: async (ms, signal) => {
    await delay(Math.max(0, ms), undefined, { signal });
  },
  after: (ms, action) => {
    const timer = setTimeout(action, Math.max(0, ms));
    return () => {
      clearTimeout(timer);
    };
  },
};
