/** Starts on a full disk behind a snapshot that was installed. */
import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { EntryKind, EntrySchema } from '../gen/agreement/agreement_pb.js';
import { LogStorage } from './logStorage.js';
import { MemoryDisk } from './memoryDisk.js';

const FOLDER = '/replica';

// Guards against an instance that does not come up while its disk is full, as its journal can't be cleared.
it('a start on a full disk reads a folder whose journal ends before its snapshot', async () => {
  const disk = MemoryDisk.empty();
  const { storage } = (await LogStorage.open(disk, FOLDER))._unsafeUnwrap();
  const entry = create(EntrySchema, {
    index: 1n,
    term: 1n,
    kind: EntryKind.COMMAND,
    command: Buffer.from('a'),
  });
  expect((await storage.write([entry])).isOk()).toBe(true);
  expect((await storage.sync()).isOk()).toBe(true);
  // The snapshot is stored; the disk is full when the journal is to be cleared, and stays so.
  disk.callErrors.remove = 'ENOSPC';
  const installed = await storage.installSnapshot({
    clusterId: 'cluster',
    lastIndex: 10n,
    lastTerm: 1n,
    configuration: undefined,
    data: Buffer.from('state'),
  });
  expect(installed.isErr()).toBe(true);
  await storage.close();
  disk.writeError = 'ENOSPC';
  disk.callErrors.truncate = 'ENOSPC';
  disk.callErrors.syncFolder = 'ENOSPC';
  disk.refusesNewFiles = true;
  const opened = await LogStorage.open(disk, FOLDER);
  expect(opened.isErr() ? opened.error.message : 'read').toBe('read');
});
