import { ManualClock } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { daemonEvents } from '../events.js';
import { ownMemory, watchMemory } from './memoryWatch.js';
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
        anonymous: (residentMb - 40) * MB,
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
      anonymousMb: 20,
      heapUsedMb: 20,
      heapReservedMb: 24,
      externalMb: 3,
      compilersMb: 8,
      compilersPeakMb: 36,
    });
  });

  // Guards against a process that is ended by the look at its memory, which takes a descriptor, when none is free.
  it('logs once that the memory is not told, and goes on when it is', async () => {
    const events: number[] = [];
    const log: Log = { event: ({ id }) => events.push(id), with: () => log };
    let isTold = false;
    const resident = (): number => {
      if (!isTold) throw new Error('EMFILE: too many open files');
      return 60 * MB;
    };
    const clock = new ManualClock();
    const stop = watchMemory(clock, log, { resident, usage: () => ({ ...ownMemory.usage(), rss: 60 * MB }) });
    await clock.advance(2_000);
    expect(events).toEqual([daemonEvents.memoryUnread.id]);
    isTold = true;
    await clock.advance(2_000);
    stop();
    expect(events).toEqual([daemonEvents.memoryUnread.id, daemonEvents.memoryGrew.id]);
  });

  // Guards against a limit that is compared with a figure which holds the pages of the program's file, too.
  it('tells anonymous memory from what is resident', () => {
    const before = ownMemory.usage();
    const held = Buffer.alloc(32 * MB, 1);
    const { rss, anonymous = 0 } = ownMemory.usage();
    expect(held.byteLength).toBe(32 * MB);
    expect(anonymous - (before.anonymous ?? Infinity)).toBeGreaterThan(24 * MB);
    expect(anonymous).toBeLessThan(rss);
  });

  // Guards against a process that fails where the kernel doesn't tell anonymous memory.
  it('leaves anonymous memory out where it is not told', () => {
    const peaks: object[] = [];
    const log: Log = { event: (_kind, fields) => peaks.push(fields ?? {}), with: () => log };
    const usage = { ...ownMemory.usage(), anonymous: undefined };
    watchMemory(new ManualClock(), log, { resident: () => 60 * MB, usage: () => usage })();
    expect(peaks).toHaveLength(1);
    expect(JSON.parse(JSON.stringify(peaks[0]))).not.toHaveProperty('anonymousMb');
  });
});
