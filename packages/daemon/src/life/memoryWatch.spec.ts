import { ManualClock } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { watchMemory } from './memoryWatch.js';
import type { MemoryReader } from './memoryWatch.js';

const MB = 1024 * 1024;

describe('the watch on the memory of a process', () => {
  // Guards against a process that ends over its limit and leaves no word of what took the memory.
  it('logs a peak with its parts, and nothing while the memory stays below the next step', async () => {
    let residentMb = 60;
    const memory: MemoryReader = {
      resident: () => residentMb * MB,
      usage: () => ({
        rss: residentMb * MB,
        heapUsed: 20 * MB,
        heapTotal: 24 * MB,
        external: 3 * MB,
        compilers: 8 * MB,
        compilersPeak: 36.04 * MB,
      }),
    };
    const peaks: unknown[] = [];
    const log: Log = { event: (_kind, fields) => peaks.push(fields), with: () => log };
    const clock = new ManualClock();
    const stop = watchMemory(clock, log, memory);
    for (residentMb of [63, 64, 50, 66, 90]) await clock.advance(500);
    stop();
    residentMb = 200;
    await clock.advance(5_000);
    expect(peaks).toMatchObject([{ residentMb: 60 }, { residentMb: 64 }, { residentMb: 90 }]);
    expect(peaks[0]).toEqual({
      residentMb: 60,
      heapUsedMb: 20,
      heapReservedMb: 24,
      externalMb: 3,
      compilersMb: 8,
      compilersPeakMb: 36,
    });
  });
});
