/** A start on a disk that hangs. */
import { ManualClock, silentMetrics } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { coordinationEvents } from '../events.js';
import { BoundedDisk } from './boundedDisk.js';
import type { StartWait } from './boundedDisk.js';
import { LogStorage } from './logStorage.js';
import { MemoryDisk } from './memoryDisk.js';

const LIMIT_MS = 1_000;

// Guards against a start that waits for its disk without a word.
it('tells which call it waits for and since when, seldom, and goes on', async () => {
  const clock = new ManualClock();
  const memory = MemoryDisk.empty();
  const told: unknown[] = [];
  const log: Log = {
    event: ({ id }, fields) => told.push({ id, ...fields }),
    with: () => log,
  };
  const waits: (StartWait | undefined)[] = [];
  const onStartWait = (wait: StartWait | undefined): unknown => waits.push(wait);
  const options = { disk: memory, clock, log, metrics: silentMetrics, limitMs: LIMIT_MS, onStartWait };
  const release = memory.hang();
  const since = clock.now();
  const opened = LogStorage.open(new BoundedDisk(options), '/replica');
  await clock.advance(LIMIT_MS - 1);
  expect(told).toEqual([]);
  await clock.advance(1);
  const line = { id: coordinationEvents.startWaits.id, call: 'mkdir', since: since.toISOString() };
  expect(told).toEqual([{ ...line, waitedMs: LIMIT_MS }]);
  expect(waits).toEqual([{ call: 'mkdir', since }]);
  await clock.advance(600_000);
  expect(told.length).toBeGreaterThan(10);
  expect(told.length).toBeLessThan(30);
  release();
  expect((await opened).isOk()).toBe(true);
  expect(waits.at(-1)).toBeUndefined();
  const { length } = told;
  await clock.advance(600_000);
  expect(told).toHaveLength(length);
});
