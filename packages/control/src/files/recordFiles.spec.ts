import { MemoryDisk, systemError } from '@jasmineroute/coordination';
import type { Disk } from '@jasmineroute/coordination';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { RecordFiles } from './recordFiles.js';
import type { RecordFormat } from './recordFiles.js';

const FOLDER = '/records';

const format: RecordFormat<string> = {
  prefix: 'records-',
  encode: (records) => Buffer.from(JSON.stringify(records)),
  decode: (batch) => JSON.parse(Buffer.from(batch).toString()) as string[],
  syncDelayMs: 100,
  keptFiles: 1,
};

/** Time within which what failed is tried again, milliseconds. */
const RETRY_MS = 10_000;

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
};

describe('records on a disk that fails for a while', () => {
  let clock: ManualClock;
  let memory: MemoryDisk;

  beforeEach(() => {
    clock = new ManualClock();
    memory = MemoryDisk.empty();
  });

  const create = (disk: Disk = memory): RecordFiles<string> =>
    new RecordFiles(disk, FOLDER, format, clock, silentLog);

  const found = async (disk: MemoryDisk): Promise<string[]> => create(disk).load();

  const pass = async (ms: number): Promise<void> => {
    await settle();
    await clock.advance(ms);
    await settle();
  };

  // Guards against records that are lost with the write that failed, although the disk works again soon.
  it('are written once it works again, without a further record', async () => {
    const files = create();
    await files.load();
    memory.writeError = 'ENOSPC';
    files.append(['a']);
    await settle();
    files.append(['b']);
    await settle();
    memory.writeError = undefined;
    await pass(RETRY_MS);
    expect(await found(memory.crash(() => 0))).toEqual(['a', 'b']);
  });

  // Guards against records that can't be read, or that come back: a part of a failed write stays behind a shorter one.
  it('leave nothing of a write that failed', async () => {
    const files = create();
    await files.load();
    files.append(['first']);
    await settle();
    memory.writeError = 'ENOSPC';
    files.append(Array.from({ length: 9_000 }, (_, at) => `failed ${at}`));
    await settle();
    memory.writeError = undefined;
    // So many that those of the failed write are dropped, and short.
    files.append(Array.from({ length: 9_000 }, () => ''));
    await pass(RETRY_MS);
    const [name = ''] = await memory.list(FOLDER);
    const { length } = await memory.read(`${FOLDER}/${name}`);
    expect(length).toBe(files.heldBytes());
  });

  // Guards against records that count as synced, as a second sync succeeds for pages that the system has dropped.
  it('are written again after a sync that failed', async () => {
    const files = create();
    await files.load();
    let isSyncFailing = true;
    const open = memory.open.bind(memory);
    memory.open = async (path) => {
      const file = await open(path);
      const sync = async (): Promise<void> => {
        if (!isSyncFailing) return file.sync();
        // The system marks what it could not write as written.
        const size = await file.size();
        await file.truncate(0);
        await file.write(new Uint8Array(size), 0);
        throw systemError('EIO');
      };
      return { ...file, sync };
    };
    expect(await files.store(['a'])).toBe(false);
    isSyncFailing = false;
    expect(await files.store(['b'])).toBe(true);
    expect(await found(memory.crash(() => 0))).toEqual(['a', 'b']);
  });

  // Guards against descriptors that run out, for the log on the same disk too: new files stay open while none can be named.
  it('leave no file open that was not named on the disk', async () => {
    const files = create();
    await files.load();
    let open = 0;
    const openFile = memory.open.bind(memory);
    memory.open = async (path) => {
      const file = await openFile(path);
      open += 1;
      const close = async (): Promise<void> => {
        open -= 1;
        return file.close();
      };
      return { ...file, close };
    };
    memory.callErrors.syncFolder = 'ENOSPC';
    for (let record = 1; record <= 100; record += 1) expect(await files.store([`${record}`])).toBe(false);
    expect(open).toBe(0);
    memory.callErrors.syncFolder = undefined;
    expect(await files.store(['last'])).toBe(true);
    expect(open).toBe(1);
    expect(await found(memory.crash(() => 0))).toHaveLength(101);
  });

  // Guards against an acknowledgement that rests on nothing: the file that holds the record failed, a newer one is synced.
  it('count as stored only once their own file is synced', async () => {
    const files = create();
    await files.load();
    files.append(['a']);
    await settle();
    files.roll();
    memory.syncError = 'EIO';
    const stored = [files.store(['b']), files.store(['c'])];
    expect(await Promise.all(stored)).toEqual([false, false]);
    memory.syncError = undefined;
    expect(await files.store(['d'])).toBe(true);
    expect(await found(memory.crash(() => 0))).toEqual(['a', 'b', 'c', 'd']);
  });

  // Guards against an acknowledged record that later ones pushed out of the memory before it was written.
  it('do not count as stored when later ones take their place', async () => {
    const files = create();
    await files.load();
    let release = (): void => undefined;
    const hanging = new Promise<void>((resolve) => {
      release = resolve;
    });
    const open = memory.open.bind(memory);
    memory.open = async (path) => {
      const file = await open(path);
      const write = async (data: Uint8Array, position: number): Promise<void> => {
        await hanging;
        return file.write(data, position);
      };
      return { ...file, write };
    };
    const first = files.store(['a']);
    await settle();
    const second = files.store(['b']);
    const third = files.store(Array.from({ length: 10_000 }, (_, at) => String(at)));
    release();
    expect(await first).toBe(true);
    expect(await third).toBe(true);
    const isStored = await second;
    const survivors = await found(memory.crash(() => 0));
    expect(survivors.includes('b')).toBe(isStored);
  });
});

describe('records within a bound of bytes', () => {
  const MAX_BYTES = 8_000;
  let memory: MemoryDisk;

  beforeEach(() => {
    memory = MemoryDisk.empty();
  });

  const create = (keptFiles = 1): RecordFiles<string> =>
    new RecordFiles(memory, FOLDER, { ...format, keptFiles }, new ManualClock(), silentLog, MAX_BYTES);

  // Guards against a disk that records fill, which are useful but not needed, so that no vote can be saved.
  it('never exceed it; the oldest give way, and the newest are found', async () => {
    let expected: string[] = [];
    for (const keptFiles of [1, 3, 50]) {
      const files = create(keptFiles);
      await files.load();
      for (let record = 1; record <= 1_000; record += 1) {
        const text = `${keptFiles} ${record} ${'x'.repeat(record % 50)}`;
        expect(await files.store([text])).toBe(true);
        expect(files.heldBytes()).toBeLessThanOrEqual(MAX_BYTES);
        expected = [...expected, text].slice(-40);
      }
      await files.close();
      memory = memory.crash(() => 0);
      expect((await create().load()).slice(-40)).toEqual(expected);
    }
  });

  // Guards against a table of which a full file has lost the beginning together with the file before it.
  it('begin each file with the table', async () => {
    const files = create();
    files.beginWith(() => ['always']);
    await files.load();
    for (let record = 1; record <= 1_000; record += 1) await files.store([String(record)]);
    expect(await create().load()).toContain('always');
  });

  // Guards against an acknowledgement of records that were left out for want of space.
  it('do not count as stored when they exceed it', async () => {
    const files = create();
    await files.load();
    const tooMany = Array.from({ length: 2_000 }, (_, at) => `record ${at}`);
    expect(await files.store(tooMany)).toBe(false);
    expect(files.heldBytes()).toBeLessThanOrEqual(MAX_BYTES);
    expect(await files.store(['next'])).toBe(true);
  });
});
