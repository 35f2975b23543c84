/** Calls that end in time. */
import { afterActive } from '@jasmineroute/core';
import type { Clock } from '@jasmineroute/core';

/** Makes a call and aborts it after `ms` milliseconds; stalls of the process, in which no answer is read, count as no time. */
export async function callWithin<T>(
  clock: Clock,
  ms: number,
  call: (options: { signal: AbortSignal }) => Promise<T>,
): Promise<T> {
  const late = new AbortController();
  const cancel = afterActive(clock, ms, () => {
    late.abort();
  });
  try {
    return await call({ signal: late.signal });
  } finally {
    cancel();
  }
}
