/** Calls to the disk that wait for a thread of the process. */
import { pbkdf2 } from 'node:crypto';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { BoundedDisk } from './boundedDisk.js';
import { fileDisk } from './fileDisk.js';

const ROUNDS = 4_000_000;
const THREADS = 4;

// Guards against a sound disk that counts as a hanging one.
it('a call that waits for a thread of the process does not count as a disk that hangs', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'busy-'));
  const disk = new BoundedDisk({
    disk: fileDisk,
    clock: systemClock,
    log: silentLog,
    metrics: silentMetrics,
    limitMs: 1_000,
  });
  disk.bound();
  const file = await disk.open(join(folder, 'a'));
  const busy = Array.from({ length: THREADS }, () => promisify(pbkdf2)('a', 'b', ROUNDS, 32, 'sha512'));
  const [written] = await Promise.allSettled([file.write(Buffer.from('entry'), 0)]);
  await Promise.all(busy);
  await rm(folder, { recursive: true });
  expect(written.status).toBe('fulfilled');
});
