/** A disk with slower syncs, so that benchmarks can stand for disks that this machine does not have. */
import { performance } from 'node:perf_hooks';
import type { Disk, DiskFile } from './disk.js';

/** Timers of Node have a resolution of one millisecond; below it, waiting goes by turns of the event loop. */
const TIMER_RESOLUTION_MS = 1;

const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Waits `ms` milliseconds, also fractions of one. */
async function wait(ms: number): Promise<void> {
  const end = performance.now() + ms;
  if (ms > TIMER_RESOLUTION_MS) {
    await new Promise((resolve) => setTimeout(resolve, ms - TIMER_RESOLUTION_MS));
  }
  while (performance.now() < end) await turn();
}

const slowFile = (file: DiskFile, delayMs: number): DiskFile => ({
  size: () => file.size(),
  write: (data, position) => file.write(data, position),
  truncate: (length) => file.truncate(length),
  sync: async () => {
    await Promise.all([file.sync(), wait(delayMs)]);
  },
  close: () => file.close(),
});

/** The same disk, with syncs of files that take at least `delayMs` milliseconds. */
export function delayedDisk(disk: Disk, delayMs: number): Disk {
  return {
    ...disk,
    open: async (path) => slowFile(await disk.open(path), delayMs),
  };
}
