/** Limits of calls that wait for a thread of the process. */
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { BoundedDisk } from './boundedDisk.js';
import type { Disk } from './disk.js';
import { MemoryDisk } from './memoryDisk.js';

const LIMIT_MS = 1_000;
const STEP_MS = 10;
const HANGS = { code: 'ETIMEDOUT' };

/** Bounds that the documentation gives. */
const BEHIND_ANOTHER_MS = 2 * LIMIT_MS;
const WITHOUT_THREAD_MS = 11 * LIMIT_MS;

describe('a call that waits for a thread', () => {
  let clock: ManualClock;
  let memory: MemoryDisk;
  let disk: Disk;
  let free: () => void;
  /** The thread that the next calls need. */
  let thread: Promise<void>;

  const occupyThreads = (): void => {
    thread = new Promise((resolve) => {
      free = resolve;
    });
  };

  const user = (): BoundedDisk => {
    const options = { disk, clock, log: silentLog, metrics: silentMetrics, limitMs: LIMIT_MS };
    const bounded = new BoundedDisk(options);
    bounded.bound();
    return bounded;
  };

  /** Advances in steps until the call is given up. @returns milliseconds. */
  async function givenUpMs(call: Promise<unknown>): Promise<number> {
    const startedAt = clock.monotonic();
    let code: unknown;
    void call.catch((error: unknown) => {
      ({ code } = error as { code: unknown });
    });
    for (let ms = 0; ms < 60_000 && code === undefined; ms += STEP_MS) await clock.advance(STEP_MS);
    expect(code).toBe(HANGS.code);
    return clock.monotonic() - startedAt;
  }

  beforeEach(() => {
    clock = new ManualClock();
    memory = MemoryDisk.empty();
    thread = Promise.resolve();
    disk = Object.assign(Object.create(memory) as Disk, { threadFree: () => thread });
  });

  // Guards against a sound disk that counts as a hanging one.
  it('has its whole limit from when a thread is free', async () => {
    const file = await user().open('/a');
    occupyThreads();
    const release = memory.hang();
    const written = file.write(Buffer.from('entry'), 0);
    await clock.advance(5 * LIMIT_MS);
    free();
    await clock.advance(LIMIT_MS - STEP_MS);
    release();
    await written;
    occupyThreads();
    memory.hang();
    const late = file.sync();
    await clock.advance(5 * LIMIT_MS);
    free();
    expect(await givenUpMs(late)).toBeLessThanOrEqual(LIMIT_MS + 2 * STEP_MS);
  });

  // Guards against votes and heartbeats that wait behind calls that hold all threads and hang.
  it('is given up soon after one that hangs with a thread', async () => {
    const file = await user().open('/a');
    const other = await user().open('/b');
    memory.hang();
    const hanging = expect(other.sync()).rejects.toMatchObject(HANGS);
    await clock.advance(0);
    occupyThreads();
    expect(await givenUpMs(file.write(Buffer.from('entry'), 0))).toBeLessThanOrEqual(
      BEHIND_ANOTHER_MS + 2 * STEP_MS,
    );
    await hanging;
  });

  // Guards against a disk that hangs for ever unseen, as calls of others hold all threads.
  it('is given up although no thread is ever free', async () => {
    const file = await user().open('/a');
    occupyThreads();
    memory.hang();
    expect(await givenUpMs(file.write(Buffer.from('entry'), 0))).toBeLessThanOrEqual(
      WITHOUT_THREAD_MS + 2 * STEP_MS,
    );
  });

  // Guards against a limit that goes on after its call has returned.
  it('that has returned is not given up', async () => {
    const bounded = user();
    const file = await bounded.open('/a');
    occupyThreads();
    await file.write(Buffer.from('entry'), 0);
    free();
    await clock.advance(60_000);
    expect(Buffer.from(await bounded.read('/a')).toString()).toBe('entry');
  });
});
