/** Reads and writes a file atomically, with a checksum that detects damage. */
import { createHash } from 'node:crypto';
import { mkdir, open, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';

/** First bytes of the file: format and version. */
const MAGIC = Buffer.from('JRKEPT1\n');
const DIGEST_BYTES = 32;

function digestOf(content: Uint8Array): Buffer {
  return createHash('sha256').update(content).digest();
}

/**
 * Replaces the file. The content is written and synced under a temporary name, which is then renamed, and the folder is
 * synced: a crash at any point leaves either the old file or the new one, never a partial one.
 * @returns 'storage-failed' on failure; the old file is then unchanged.
 */
export async function writeStateFile(path: string, content: Uint8Array): Promise<Result<void, Fault>> {
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
 * @returns the content; undefined if there is no file; 'storage-failed' if it is damaged or cannot be read.
 */
export async function readStateFile(path: string): Promise<Result<Uint8Array | undefined, Fault>> {
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
