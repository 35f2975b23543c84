import { MemoryDisk } from '@jasmineroute/coordination';
import { describe, expect, it } from 'vitest';
import { folderLimit, folderShares } from './folderLimit.js';

const MB = 1_000_000;

async function filledDisk(bytes: number): Promise<MemoryDisk> {
  const disk = MemoryDisk.empty();
  const file = await disk.open('/data/control/journal-1');
  await file.write(new Uint8Array(bytes), 0);
  return disk;
}

describe('what a data folder may hold', () => {
  it('is the setting, whatever the file system tells', async () => {
    const limit = await folderLimit(48, MemoryDisk.empty(), ['/data/control'], '/data');
    expect(limit).toEqual({ bytes: 48 * MB, from: 'setting' });
  });

  // Guards against a bound that shrinks with each restart, as what the folder holds itself counts as taken.
  it('is what it holds and what is free, without a setting', async () => {
    const disk = await filledDisk(10 * MB);
    disk.capacityBytes = 40 * MB;
    const limit = await folderLimit(undefined, disk, ['/data/control', '/data/origins'], '/data');
    expect(limit?.from).toBe('file system');
    expect(limit?.bytes).toBeGreaterThan(39 * MB);
    expect(limit?.bytes).toBeLessThanOrEqual(40 * MB);
  });

  // Guards against an instance that refuses every change where a file system counts no blocks.
  it('is unbounded where the file system does not tell', async () => {
    const full = await filledDisk(MB);
    full.capacityBytes = MB;
    expect(await folderLimit(undefined, full, ['/data/control'], '/data')).toBeUndefined();
    const silent = Object.assign(MemoryDisk.empty(), {
      freeBytes: () => Promise.reject(new Error('refused')),
    });
    expect(await folderLimit(undefined, silent, ['/data/control'], '/data')).toBeUndefined();
  });

  it('is shared without a rest', () => {
    const { log, origins, evidence, departures } = folderShares(64 * MB);
    expect(log + origins + evidence + departures).toBe(64 * MB);
    expect(log).toBe(52 * MB);
  });
});
