/** A disk with slower syncs, with which benchmarks simulate slower hardware. */
import { performance } from 'node:perf_hooks';
import type { Disk, DiskFile } from './disk.js';

/** Node's timers have a resolution of one millisecond; shorter waits poll once per turn of the event loop. */
const TIMER_RESOLUTION_MS = 1;

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Waits `ms` milliseconds, which may be a fraction. */
async function sleepPrecisely(ms: number): Promise<void> {
  const end = performance.now() + ms;
  if (ms > TIMER_RESOLUTION_MS) {
    await new Promise((resolve) => setTimeout(resolve, ms - TIMER_RESOLUTION_MS));
  }
  while (performance.now() < end) await nextTurn();
}

const slowFile = (file: DiskFile, delayMs: number): DiskFile => ({
  size: () => file.size(),
  write: (data, position) => file.write(data, position),
  truncate: (length) => file.truncate(length),
  sync: async () => {
    await Promise.all([file.sync(), sleepPrecisely(delayMs)]);
  },
  close: () => file.close(),
});

/** Wraps a disk so that each file sync takes at least `delayMs` milliseconds. */
export function delayedDisk(disk: Disk, delayMs: number): Disk {
  return {
    ...disk,
    open: async (path) => slowFile(await disk.open(path), delayMs),
  };
}
