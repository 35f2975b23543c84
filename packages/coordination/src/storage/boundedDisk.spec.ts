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

  // Guards against a disk that counts as hanging later and later, as writes that it refused count for ever.
  it('allows no time for what it refused, for what is durable, and for closed files', async () => {
    const bytes = Buffer.alloc(10 * LIMIT_MS * 1_000);
    const refused = await disk.open('/refused');
    memory.writeError = 'ENOSPC';
    await expect(refused.write(bytes, 0)).rejects.toMatchObject({ code: 'ENOSPC' });
    memory.writeError = undefined;
    const other = await disk.open('/other');
    await other.write(bytes, 0);
    await other.sync();
    await other.write(bytes, 0);
    await other.close();
    const file = await disk.open('/a');
    memory.hang();
    const late = expect(file.sync()).rejects.toMatchObject(HANGS);
    await clock.advance(LIMIT_MS + 10);
    await late;
  });

  // Guards against a disk that is never seen to hang while more is written to it.
  it('allows no time for what is written after the call', async () => {
    const file = await disk.open('/a');
    memory.syncDelay = () => clock.sleep(20 * LIMIT_MS);
    const late = expect(file.sync()).rejects.toMatchObject(HANGS);
    await file.write(Buffer.alloc(10 * LIMIT_MS * 1_000), 0);
    await clock.advance(LIMIT_MS + 10);
    await late;
  });

  // Guards against a short sync that counts as hanging behind a long one of another part of the process.
  it('allows time for what another user of the disk has written', async () => {
    const options = { disk: memory, clock, log: silentLog, metrics: silentMetrics, limitMs: LIMIT_MS };
    const other = await new BoundedDisk(options).open('/other');
    await other.write(Buffer.alloc(10 * LIMIT_MS * 1_000), 0);
    const file = await disk.open('/a');
    memory.syncDelay = () => clock.sleep(10 * LIMIT_MS);
    const synced = file.sync();
    await clock.advance(10 * LIMIT_MS);
    await synced;
  });
});
