/** A disk that hangs while a snapshot is written. */
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { BoundedDisk } from './boundedDisk.js';
import { LogStorage } from './logStorage.js';
import { MemoryDisk } from './memoryDisk.js';

const SNAPSHOT_BYTES = 32 * 1_024 * 1_024;

/** The others close a connection on which nothing is answered for about a second. */
const NOTICE_MS = 5_000;

// Guards against votes and heartbeats that wait, for as long as a long write may take, for a disk that hangs.
it('a disk that hangs while a snapshot is written is given up as soon as at any other call', async () => {
  const memory = MemoryDisk.empty();
  const clock = new ManualClock();
  const disk = new BoundedDisk({
    disk: memory,
    clock,
    log: silentLog,
    metrics: silentMetrics,
    limitMs: 1_000,
  });
  const { storage } = (await LogStorage.open(disk, '/replica'))._unsafeUnwrap();
  disk.bound();
  const data = Buffer.alloc(SNAPSHOT_BYTES);
  // Hangs from the write on.
  const open = disk.open.bind(disk);
  disk.open = async (path) => {
    const file = await open(path);
    memory.hang();
    return { ...file, truncate: () => Promise.resolve() };
  };
  const before = clock.monotonic();
  let givenUpAt: number | undefined;
  const snapshot = { clusterId: 'c', lastIndex: 1n, lastTerm: 1n, configuration: undefined, data };
  // A replica holds its lock on term, vote and log meanwhile.
  void storage.saveSnapshot(snapshot, 2n, 2n).then(() => (givenUpAt = clock.monotonic() - before));
  for (let passed = 0; passed < 60_000 && givenUpAt === undefined; passed += 100) {
    await new Promise(setImmediate);
    await clock.advance(100);
  }
  expect(givenUpAt).toBeLessThan(NOTICE_MS);
});
