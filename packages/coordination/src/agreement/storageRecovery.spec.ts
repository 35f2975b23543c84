/** Recovery of one replica's storage beside what the replica does meanwhile. */
import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { expect, test } from 'vitest';
import { EntryKind, EntrySchema } from '../gen/agreement/agreement_pb.js';
import type { Entry } from '../gen/agreement/agreement_pb.js';
import { LogStorage, MemoryDisk } from '../storage/index.js';
import { tuning } from './options.js';
import { Replica } from './replica.js';

const FOLDER = '/replica';

const entry = (index: number): Entry =>
  create(EntrySchema, {
    index: BigInt(index),
    term: 1n,
    kind: EntryKind.COMMAND,
    command: Buffer.from(`command ${index}`),
  });

async function open(disk: MemoryDisk): Promise<Replica> {
  const { storage, recovered } = (await LogStorage.open(disk, FOLDER))._unsafeUnwrap();
  return new Replica({
    name: 'a',
    storage,
    recovered,
    clock: new ManualClock(),
    log: silentLog,
    metrics: silentMetrics,
    tuning: tuning.parse({}),
    random: () => 0,
  });
}

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

// Guards against entries that count as synced, and are lost with the power, as their sync fails while a vote is saved again.
test('a sync that fails while the storage recovers from another error counts', async () => {
  const disk = MemoryDisk.empty();
  const replica = await open(disk);
  await replica.appendEntries([entry(1)]);
  const syncs: (() => void)[] = [];
  disk.syncDelay = () =>
    new Promise((resolve) => {
      syncs.push(resolve);
    });
  const journal = replica.syncEntries(1n);
  disk.writeError = 'ENOSPC';
  await replica.saveState({ term: 2n });
  disk.writeError = undefined;
  const recovery = replica.recoverStorage();
  while (syncs.length < 2) await nextTurn();
  disk.syncError = 'EIO';
  syncs[0]?.();
  expect((await journal).isErr()).toBe(true);
  disk.syncError = undefined;
  disk.syncDelay = () => Promise.resolve();
  syncs[1]?.();
  expect((await recovery).isErr()).toBe(true);
  expect(replica.syncedIndex).toBe(0n);
  expect((await replica.recoverStorage()).isOk()).toBe(true);
  expect(replica.syncedIndex).toBe(1n);
  expect((await open(disk.crash(() => 0))).entries.last.index).toBe(1n);
});

// Guards against a replica that ends with the report of a changed file, as entries of an older leader were removed from the disk by
// a truncation that failed.
test.each(['sync', 'truncate'])('a truncation of which the %s fails is recovered from', async (call) => {
  const disk = MemoryDisk.empty();
  const replica = await open(disk);
  await replica.appendEntries([1, 2, 3, 4, 5].map(entry));
  await replica.syncEntries(5n);
  if (call === 'sync') disk.syncError = 'ENOSPC';
  else disk.callErrors.truncate = 'ENOSPC';
  expect((await replica.truncateEntries(3n)).isErr()).toBe(true);
  disk.syncError = undefined;
  disk.callErrors.truncate = undefined;
  expect((await replica.recoverStorage()).isOk()).toBe(true);
  expect((await replica.truncateEntries(3n)).isOk()).toBe(true);
  expect((await open(disk.crash(() => 0))).entries.last.index).toBe(2n);
});

// Guards against an instance that reads its whole journal again and again while its disk stays full, and answers nothing meanwhile.
test('the folder is not read while the disk still refuses a small write', async () => {
  const disk = MemoryDisk.empty();
  const replica = await open(disk);
  await replica.appendEntries([entry(1)]);
  disk.syncError = 'ENOSPC';
  await replica.syncEntries(1n);
  let reads = 0;
  const read = disk.read.bind(disk);
  disk.read = (path) => {
    reads += 1;
    return read(path);
  };
  expect((await replica.recoverStorage()).isErr()).toBe(true);
  expect(reads).toBe(0);
  disk.syncError = undefined;
  expect((await replica.recoverStorage()).isOk()).toBe(true);
});
