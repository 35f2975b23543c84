import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { BoundedDisk } from './boundedDisk.js';
import { MemoryDisk } from './memoryDisk.js';

const LIMIT_MS = 1_000;

const HANGS = { code: 'ETIMEDOUT' };

describe('a bounded disk', () => {
  let clock: ManualClock;
  let memory: MemoryDisk;
  let disk: BoundedDisk;

  beforeEach(() => {
    clock = new ManualClock();
    memory = MemoryDisk.empty();
    disk = new BoundedDisk({
      disk: memory,
      clock,
      log: silentLog,
      metrics: silentMetrics,
      limitMs: LIMIT_MS,
    });
    disk.bound();
  });

  // Guards against a late call that undoes a later one.
  it('refuses calls at once until an overdue one has returned', async () => {
    const file = await disk.open('/a');
    const release = memory.hang();
    const late = expect(file.write(Buffer.from('late'), 0)).rejects.toMatchObject(HANGS);
    await clock.advance(LIMIT_MS + 10);
    await late;
    await expect(file.write(Buffer.from('next'), 0)).rejects.toMatchObject(HANGS);
    release();
    await clock.advance(0);
    expect(Buffer.from(await disk.read('/a')).toString()).toBe('late');
    await file.write(Buffer.from('next'), 0);
    expect(Buffer.from(await disk.read('/a')).toString()).toBe('next');
  });

  // Guards against long writes, and their syncs, that count as hanging because of their length.
  it('allows a long write and its sync more time', async () => {
    const file = await disk.open('/a');
    const release = memory.hang();
    const long = file.write(Buffer.alloc(10 * LIMIT_MS * 1_000), 0);
    await clock.advance(10 * LIMIT_MS);
    release();
    await long;
    memory.syncDelay = () => clock.sleep(10 * LIMIT_MS);
    const synced = file.sync();
    await clock.advance(10 * LIMIT_MS);
    await synced;
    const short = expect(file.sync()).rejects.toMatchObject(HANGS);
    await clock.advance(LIMIT_MS);
    await short;
  });
});
