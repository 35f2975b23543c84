/** Snapshots on disk: the state up to one entry, in a file named by the entry's index. */
import { join } from 'node:path';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { InstallRequestSchema } from '../gen/agreement/agreement_pb.js';
import type { InstallRequest } from '../gen/agreement/agreement_pb.js';
import type { Disk } from './disk.js';
import { TEMPORARY_SUFFIX, readRecords, replaceFile } from './recordFile.js';

const PREFIX = 'snapshot-';
const DIGITS = 16;

/** State up to `lastIndex`, with the configuration at that entry. Stored in the form in which it is sent. */
export type Snapshot = Pick<
  InstallRequest,
  'clusterId' | 'lastIndex' | 'lastTerm' | 'configuration' | 'data'
>;

const nameOf = (index: bigint): string => PREFIX + String(index).padStart(DIGITS, '0');

const isSnapshot = (name: string): boolean => name.startsWith(PREFIX) && !name.endsWith(TEMPORARY_SUFFIX);

/** The newest snapshot in a folder. @throws CorruptFile, or a system error. */
export async function readSnapshot(disk: Disk, folder: string): Promise<Snapshot | undefined> {
  const newest = (await disk.list(folder)).filter(isSnapshot).sort().at(-1);
  if (newest === undefined) return undefined;
  const [header, data] = await readRecords(disk, join(folder, newest), 2);
  if (header === undefined || data === undefined) return undefined;
  return { ...fromBinary(InstallRequestSchema, header), data };
}

/**
 * Writes a snapshot durably, then removes the older ones. Incomplete ones are removed first: the disk may have refused that
 * when they failed.
 */
export async function writeSnapshot(disk: Disk, folder: string, snapshot: Snapshot): Promise<void> {
  await removeIncomplete(disk, folder);
  const { clusterId, lastIndex, lastTerm, configuration, data } = snapshot;
  const header = { ...emptyHeader, clusterId, lastIndex, lastTerm, configuration };
  const name = nameOf(lastIndex);
  await replaceFile(disk, join(folder, name), [toBinary(InstallRequestSchema, header), data]);
  const older = (await disk.list(folder)).filter((other) => isSnapshot(other) && other < name);
  for (const other of older) await disk.remove(join(folder, other));
}

/** Removes incomplete snapshots. */
async function removeIncomplete(disk: Disk, folder: string): Promise<void> {
  const names = (await disk.list(folder)).filter((name) => name.startsWith(PREFIX) && !isSnapshot(name));
  for (const name of names) await disk.remove(join(folder, name));
}

const emptyHeader = fromBinary(InstallRequestSchema, new Uint8Array());
