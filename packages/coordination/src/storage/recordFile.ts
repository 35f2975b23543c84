/** Small files that are replaced atomically: after a crash they hold either the old or the new content. */
import { dirname } from 'node:path';
import type { Disk } from './disk.js';
import { decodeFrames, encodeFrame } from './frame.js';
import { CorruptFile } from './storageFault.js';

/** Suffix of files that are still being written; leftovers are removed at the start. */
export const TEMPORARY_SUFFIX = '.tmp';

/** Bytes that are written and synced at a time: a disk that hangs is noticed before a long write would have ended. */
const PIECE_BYTES = 1_048_576;

/** Replaces a file's content: writes and syncs a temporary file, renames it, and syncs the folder. */
export async function replaceFile(disk: Disk, path: string, parts: readonly Uint8Array[]): Promise<void> {
  const temporaryPath = path + TEMPORARY_SUFFIX;
  try {
    await writeTemporary(disk, temporaryPath, Buffer.concat(parts.map(encodeFrame)));
  } catch (error) {
    // On a full disk an incomplete file must not keep taking up space.
    await disk.remove(temporaryPath).catch(() => undefined);
    throw error;
  }
  await disk.rename(temporaryPath, path);
  await disk.syncFolder(dirname(path));
}

async function writeTemporary(disk: Disk, temporaryPath: string, data: Uint8Array): Promise<void> {
  const file = await disk.open(temporaryPath);
  try {
    await file.truncate(0);
    for (let from = 0; from < data.length; from += PIECE_BYTES) {
      await file.write(data.subarray(from, from + PIECE_BYTES), from);
      await file.sync();
    }
  } finally {
    await file.close();
  }
}

/** Reads a file written by `replaceFile`. @throws CorruptFile when it does not hold exactly `count` whole records. */
export async function readRecords(disk: Disk, path: string, count: number): Promise<Uint8Array[]> {
  const frames = decodeFrames(await disk.read(path));
  if (frames.ending !== 'whole' || frames.payloads.length !== count) {
    throw new CorruptFile(path, 'checksum mismatch');
  }
  return frames.payloads;
}
