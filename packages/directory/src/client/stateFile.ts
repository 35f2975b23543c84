/** One file whose content is whole or not used at all. */
import { createHash } from 'node:crypto';
import { mkdir, open, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';

/** First bytes of the file: format and its version. */
const MAGIC = Buffer.from('JRKEPT1\n');
const DIGEST_BYTES = 32;

function digestOf(content: Uint8Array): Buffer {
  return createHash('sha256').update(content).digest();
}

/**
 * Replaces the file. The new content is synced under another name before it takes the name, and the folder is
 * synced after: a crash at any point leaves the old file or the new one, never a part.
 * @returns 'storage-failed' when it could not be done; the old file is as it was then.
 */
export async function writeKept(path: string, content: Uint8Array): Promise<Result<void, Fault>> {
  const temporary = `${path}.new`;
  try {
    await mkdir(dirname(path), { recursive: true });
    const file = await open(temporary, 'w');
    try {
      await file.writeFile(Buffer.concat([MAGIC, digestOf(content), content]));
      await file.sync();
    } finally {
      await file.close();
    }
    await rename(temporary, path);
    await syncFolder(dirname(path));
    return ok(undefined);
  } catch (error) {
    return err(fault('storage-failed', `cannot write ${path}: ${String(error)}`, { cause: error }));
  }
}

/**
 * Reads the file.
 * @returns the content; undefined when there is no file; 'storage-failed' when it is damaged or cannot be read.
 */
export async function readKept(path: string): Promise<Result<Uint8Array | undefined, Fault>> {
  let bytes: Buffer;
  try {
    bytes = await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return ok(undefined);
    return err(fault('storage-failed', `cannot read ${path}: ${String(error)}`, { cause: error }));
  }
  const start = MAGIC.length + DIGEST_BYTES;
  const content = bytes.subarray(start);
  const whole = bytes.length >= start && bytes.subarray(0, MAGIC.length).equals(MAGIC);
  if (!whole || !bytes.subarray(MAGIC.length, start).equals(digestOf(content)))
    return err(fault('storage-failed', `${path} is damaged`));
  return ok(content);
}

async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
