/** Calls that wait for others on a slow disk. */
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { BoundedDisk } from './boundedDisk.js';
import type { Disk, DiskFile } from './disk.js';
import { MemoryDisk } from './memoryDisk.js';

const BYTES_PER_MS = 10_000;

/** A disk that takes 10 MB a second, one sync after the other: a sync waits for what other files' syncs have in progress. */
function slowDisk(disk: Disk): Disk {
  let last: Promise<unknown> = Promise.resolve();
  const wrap = (file: DiskFile): DiskFile => {
    let dirty = 0;
    return {
      size: () => file.size(),
      truncate: (length) => file.truncate(length),
      close: () => file.close(),
      write: async (data, position) => {
        await file.write(data, position);
        dirty += data.length;
      },
      sync: () => {
        const ms = dirty / BYTES_PER_MS;
        dirty = 0;
        const done = last.then(() => systemClock.sleep(ms)).then(() => file.sync());
        last = done;
        return done;
      },
    };
  };
  return Object.assign(Object.create(disk) as Disk, {
    open: async (path: string) => wrap(await disk.open(path)),
  });
}

// Guards against a slow disk that counts as a hanging one whenever a snapshot is written.
it('a short sync behind a long one of another file does not count as hanging', async () => {
  const disk = new BoundedDisk({
    disk: slowDisk(MemoryDisk.empty()),
    clock: systemClock,
    log: silentLog,
    metrics: silentMetrics,
    limitMs: 1_000,
  });
  disk.bound();
  const snapshot = await disk.open('/snapshot');
  const journal = await disk.open('/journal');
  await snapshot.write(Buffer.alloc(20_000_000), 0);
  const long = snapshot.sync();
  await journal.write(Buffer.from('entry'), 0);
  const short = journal.sync();
  const results = await Promise.allSettled([long, short]);
  expect(results.map(({ status }) => status)).toEqual(['fulfilled', 'fulfilled']);
});
