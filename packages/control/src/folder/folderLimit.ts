/** Bytes that the data folder may hold, and how its parts share them. */
import { join } from 'node:path';
import type { Disk } from '@jasmineroute/coordination';

/** Bytes of a megabyte in settings. */
const MEGABYTE = 1_000_000;

/** Least limit. A file system that tells of less does not count blocks as others do. */
const LEAST_LIMIT_BYTES = 8 * MEGABYTE;

/** Shares of the records; the log has the rest. */
const ORIGINS_SHARE = 1 / 8;
const EVIDENCE_SHARE = 1 / 32;
const DEPARTURES_SHARE = 1 / 32;

/** Bytes that each folder inside the data folder may hold. */
export interface FolderShares {
  readonly log: number;
  readonly origins: number;
  readonly evidence: number;
  readonly departures: number;
}

/** A limit and where it is from. */
export interface FolderLimit {
  readonly bytes: number;
  readonly from: 'setting' | 'file system';
}

/** Divides a limit. */
export function folderShares(limitBytes: number): FolderShares {
  const origins = Math.floor(limitBytes * ORIGINS_SHARE);
  const evidence = Math.floor(limitBytes * EVIDENCE_SHARE);
  const departures = Math.floor(limitBytes * DEPARTURES_SHARE);
  return { log: Math.floor(limitBytes) - origins - evidence - departures, origins, evidence, departures };
}

async function fileBytes(disk: Disk, path: string): Promise<number> {
  const file = await disk.open(path);
  try {
    return await file.size();
  } finally {
    await file.close();
  }
}

/** Bytes of the files in a folder; 0 when there is none. */
async function folderBytes(disk: Disk, folder: string): Promise<number> {
  const names = await disk.list(folder).catch(() => []);
  const sizes = await Promise.all(names.map((name) => fileBytes(disk, join(folder, name))));
  return sizes.reduce((sum, size) => sum + size, 0);
}

/**
 * What the data folder may hold: the setting, or else what its folders hold and the file system has left.
 * @returns undefined: unbounded, as the file system does not tell.
 */
export async function folderLimit(
  maxFolderMb: number | undefined,
  disk: Disk,
  folders: readonly string[],
  dataFolder: string,
): Promise<FolderLimit | undefined> {
  if (maxFolderMb !== undefined) return { bytes: maxFolderMb * MEGABYTE, from: 'setting' };
  try {
    const free = await disk.freeBytes(dataFolder);
    const held = await Promise.all(folders.map((folder) => folderBytes(disk, folder)));
    const bytes = held.reduce((sum, one) => sum + one, free);
    return bytes < LEAST_LIMIT_BYTES || !Number.isFinite(bytes) ? undefined : { bytes, from: 'file system' };
  } catch {
    // The folder monitor logs that the file system does not tell.
    return undefined;
  }
}
