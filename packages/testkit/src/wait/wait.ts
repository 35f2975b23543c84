/** Waiting for a condition with a deadline, in place of fixed sleeps. */
import { systemClock } from '@jasmineroute/core';

/** How long and how often to look. */
export interface WaitOptions {
  readonly timeoutMs?: number;
  readonly everyMs?: number;
}

/**
 * Polls until the condition gives something other than undefined or false.
 * @throws Error naming what was waited for, with the last error of the condition.
 */
export async function waitFor<T>(
  what: string,
  condition: () => T | undefined | false | Promise<T | undefined | false>,
  { timeoutMs = 10_000, everyMs = 20 }: WaitOptions = {},
): Promise<T> {
  const deadline = systemClock.monotonic() + timeoutMs;
  let last: unknown;
  while (systemClock.monotonic() < deadline) {
    try {
      const value = await condition();
      if (value !== undefined && value !== false) return value;
    } catch (error) {
      last = error;
    }
    await systemClock.sleep(everyMs);
  }
  throw new Error(`waited ${timeoutMs} ms for ${what}`, { cause: last });
}
