/** A process that starts on a full disk: it reads its folder, refuses writes, and writes again when there is space. */
import { create } from '@bufbuild/protobuf';
import { beforeEach, describe, expect, it } from 'vitest';
import { EntryKind, EntrySchema } from '../gen/agreement/agreement_pb.js';
import type { Entry } from '../gen/agreement/agreement_pb.js';
import { LogStorage } from './logStorage.js';
import type { OpenedStorage } from './logStorage.js';
import { MemoryDisk } from './memoryDisk.js';
import type { FailingCall } from './memoryDisk.js';
import type { Snapshot } from './snapshotFile.js';

const FOLDER = '/replica';

const CALLS: readonly FailingCall[] = ['open', 'rename', 'remove', 'truncate', 'syncFolder'];

const entry = (index: bigint): Entry =>
  create(EntrySchema, { index, term: 1n, kind: EntryKind.COMMAND, command: Buffer.from(`c${index}`) });

const snapshotAt = (lastIndex: bigint): Snapshot => ({
  clusterId: 'cluster',
  lastIndex,
  lastTerm: 1n,
  configuration: undefined,
  data: Buffer.from('state'),
});

describe('a start on a full disk', () => {
  let disk: MemoryDisk;

  async function open(): Promise<OpenedStorage> {
    const opened = await LogStorage.open(disk, FOLDER);
    return opened._unsafeUnwrap();
  }

  /** The system refuses new names, and to change what there is; files that exist can be opened. */
  function fill(): void {
    disk.writeError = 'ENOSPC';
    for (const call of CALLS) if (call !== 'open') disk.callErrors[call] = 'ENOSPC';
    disk.refusesNewFiles = true;
  }

  function free(): void {
    disk.writeError = undefined;
    for (const call of CALLS) disk.callErrors[call] = undefined;
    disk.refusesNewFiles = false;
  }

  /** Starts on a full disk, and expects that the storage is refused until there is space. */
  async function expectStart(indexes: readonly bigint[], next: bigint): Promise<void> {
    fill();
    const { storage, recovered } = await open();
    expect(recovered.entries.map(({ index }) => index)).toEqual(indexes);
    const { state, entries, syncedIndex } = recovered;
    const held = { state, entries, commitIndex: 0n, syncedIndex };
    expect((await storage.recover(held)).isErr()).toBe(true);
    expect((await storage.write([entry(next)])).isErr()).toBe(true);
    free();
    expect((await storage.recover(held)).isOk()).toBe(true);
    expect((await storage.write([entry(next)])).isOk()).toBe(true);
    expect((await storage.sync()).isOk()).toBe(true);
    disk = disk.crash(() => 0.1);
    const after = await open();
    expect(after.recovered.entries.map(({ index }) => index)).toEqual([...indexes, next]);
  }

  beforeEach(() => {
    disk = MemoryDisk.empty();
  });

  // Guards against a process that ends at its start because the part that an interrupted write left can't be removed.
  it('reads a journal whose last write was interrupted', async () => {
    const { storage } = await open();
    await storage.write([entry(1n)]);
    await storage.sync();
    disk.writeError = 'ENOSPC';
    disk.callErrors.truncate = 'ENOSPC';
    await storage.write([entry(2n)]);
    disk = disk.endProcess();
    await expectStart([1n], 2n);
  });

  // Guards against a process that ends at its start because it begins a new journal after a snapshot of all entries.
  it('reads a snapshot of all entries', async () => {
    const { storage } = await open();
    await storage.write([entry(1n)]);
    await storage.sync();
    await storage.saveSnapshot(snapshotAt(1n), 2n, 2n);
    disk = disk.endProcess();
    await expectStart([], 2n);
  });

  // Guards against a process that ends at its start because it can't remove what an ended one was writing.
  it('leaves temporary files that can not be removed', async () => {
    const { storage } = await open();
    await storage.write([entry(1n)]);
    await storage.sync();
    await disk.open(`${FOLDER}/snapshot-0000000000000009.tmp`);
    disk = disk.endProcess();
    await expectStart([1n], 2n);
  });

  // Guards against acknowledged entries that a loss of power takes with the name of their file: the process that created it was
  // ended before it synced the folder.
  it('makes the name of an empty segment durable before it is written', async () => {
    const bounds = { segmentBytes: 1, mostBytes: Infinity };
    const first = (await LogStorage.open(disk, FOLDER, bounds))._unsafeUnwrap();
    await first.storage.write([entry(1n)]);
    await first.storage.sync();
    disk.callErrors.syncFolder = 'EIO';
    expect((await first.storage.write([entry(2n)])).isErr()).toBe(true);
    disk = disk.endProcess();
    const second = await open();
    expect((await second.storage.write([entry(2n)])).isOk()).toBe(true);
    expect((await second.storage.sync()).isOk()).toBe(true);
    disk = disk.crash(() => 0.1);
    const { recovered } = await open();
    expect(recovered.entries.map(({ index }) => index)).toEqual([1n, 2n]);
  });
});
