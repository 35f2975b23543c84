/** Small files that are replaced as a whole: the old or the new content survives a crash, never a mixture. */
import { dirname } from 'node:path';
import type { Disk } from './disk.js';
import { decodeFrames, encodeFrame } from './frame.js';
import { CorruptFile } from './storageFault.js';

/** Ending of files that are not in place yet; leftovers are removed at start. */
export const DRAFT_ENDING = '.tmp';

/** Replaces a file's content: written beside it, synced, renamed over it, folder synced. */
export async function replaceFile(disk: Disk, path: string, parts: readonly Uint8Array[]): Promise<void> {
  const draft = path + DRAFT_ENDING;
  const file = await disk.open(draft);
  try {
    await file.truncate(0);
    await file.write(Buffer.concat(parts.map(encodeFrame)), 0);
    await file.sync();
  } finally {
    await file.close();
  }
  await disk.rename(draft, path);
  await disk.syncFolder(dirname(path));
}

/** Reads such a file. @throws CorruptFile when it does not hold `count` whole records. */
export async function readRecords(disk: Disk, path: string, count: number): Promise<Uint8Array[]> {
  const frames = decodeFrames(await disk.read(path));
  if (frames.ending !== 'whole' || frames.payloads.length !== count) {
    throw new CorruptFile(path, 'checksum mismatch');
  }
  return frames.payloads;
}
