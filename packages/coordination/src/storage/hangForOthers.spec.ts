/** A disk that hangs for one of its users in this process, as the others see it. */
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { BoundedDisk } from './boundedDisk.js';
import { MemoryDisk } from './memoryDisk.js';

const LONG_WRITE_BYTES = 20_000_000;

const LIMIT_MS = 1_000;

/** Longest time until a call counts as hanging once another one does. */
const NOTICE_MS = 2_000;

// Guards against records, and an end of the process, that wait long for a disk of which the log knows that it hangs.
it('a disk that counts as hanging for one user leaves the calls of others no time for what it holds back', async () => {
  const memory = MemoryDisk.empty();
  const clock = new ManualClock();
  const options = { disk: memory, clock, log: silentLog, metrics: silentMetrics, limitMs: LIMIT_MS };
  const log = new BoundedDisk(options);
  const records = new BoundedDisk(options);
  log.bound();
  records.bound();
  const file = await log.open('/log');
  await file.write(Buffer.alloc(LONG_WRITE_BYTES), 0);
  memory.hang();

  async function givenUpAfter(call: Promise<unknown>): Promise<number> {
    const before = clock.monotonic();
    let endedAt: number | undefined;
    void call.catch(() => (endedAt = clock.monotonic()));
    for (let passed = 0; passed < 60_000 && endedAt === undefined; passed += 100) {
      await new Promise(setImmediate);
      await clock.advance(100);
    }
    return (endedAt ?? Infinity) - before;
  }

  expect(await givenUpAfter(file.sync())).toBeGreaterThan(LONG_WRITE_BYTES / 1_000);
  expect(await givenUpAfter(records.list('/'))).toBeLessThan(NOTICE_MS);
});
