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
  try {
    await writeDraft(disk, draft, Buffer.concat(parts.map(encodeFrame)));
  } catch (error) {
    // On a full disk the part that was written must not go on taking space.
    await disk.remove(draft).catch(() => undefined);
    throw error;
  }
  await disk.rename(draft, path);
  await disk.syncFolder(dirname(path));
}

async function writeDraft(disk: Disk, draft: string, data: Uint8Array): Promise<void> {
  const file = await disk.open(draft);
  try {
    await file.truncate(0);
    await file.write(data, 0);
    await file.sync();
  } finally {
    await file.close();
  }
}

/** Reads such a file. @throws CorruptFile when it does not hold `count` whole records. */
export async function readRecords(disk: Disk, path: string, count: number): Promise<Uint8Array[]> {
  const frames = decodeFrames(await disk.read(path));
  if (frames.ending !== 'whole' || frames.payloads.length !== count) {
    throw new CorruptFile(path, 'checksum mismatch');
  }
  return frames.payloads;
}
