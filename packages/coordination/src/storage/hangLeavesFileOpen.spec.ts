/** Files under calls that hang. */
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { BoundedDisk } from './boundedDisk.js';
import type { Disk, DiskFile } from './disk.js';
import { MemoryDisk } from './memoryDisk.js';
import { replaceFile } from './recordFile.js';

// Guards against descriptors that are lost with each call to the disk that hangs.
it('a file whose write hung is closed once the disk answers', async () => {
  const memory = MemoryDisk.empty();
  let open = 0;
  const counted = (file: DiskFile): DiskFile => ({
    size: () => file.size(),
    truncate: (length) => file.truncate(length),
    write: (data, position) => file.write(data, position),
    sync: () => file.sync(),
    close: () => {
      open -= 1;
      return file.close();
    },
  });
  const disk = Object.assign(Object.create(memory) as Disk, {
    open: async (path: string) => {
      const file = await memory.open(path);
      open += 1;
      return counted(file);
    },
  });
  const clock = new ManualClock();
  const bounded = new BoundedDisk({ disk, clock, log: silentLog, metrics: silentMetrics, limitMs: 1_000 });
  bounded.bound();
  const file = await bounded.open('/other');
  await file.close();
  expect(open).toBe(0);
  for (let hang = 0; hang < 3; hang += 1) {
    let release = (): void => undefined;
    // The disk hangs at the write, after the file was opened.
    const replacing = replaceFile(
      Object.assign(Object.create(bounded) as Disk, {
        open: async (path: string) => {
          const opened = await bounded.open(path);
          release = memory.hang();
          return opened;
        },
        remove: (path: string) => bounded.remove(path),
      }),
      '/state',
      [Buffer.from('vote')],
    );
    const failed = expect(replacing).rejects.toMatchObject({ code: 'ETIMEDOUT' });
    for (let i = 0; i < 20; i += 1) await clock.advance(100);
    await failed;
    release();
    await clock.advance(0);
  }
  await clock.advance(10_000);
  expect(open).toBe(0);
});
