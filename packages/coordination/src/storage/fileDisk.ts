/** The disk port on the machine's file system. */
import { randomFill } from 'node:crypto';
import { mkdir, open, readFile, readdir, rename, statfs, unlink } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { constants } from 'node:fs';
import { dirname } from 'node:path';
import type { Disk, DiskFile } from './disk.js';
import { lockFolder } from './folderLock.js';

const isCode = (error: unknown, code: string): boolean =>
  error instanceof Error && (error as NodeJS.ErrnoException).code === code;

async function writeAll(handle: FileHandle, data: Uint8Array, position: number): Promise<void> {
  let done = 0;
  while (done < data.length) {
    const { bytesWritten } = await handle.write(data, done, data.length - done, position + done);
    done += bytesWritten;
  }
}

const wrap = (handle: FileHandle): DiskFile => ({
  size: async () => (await handle.stat()).size,
  write: (data, position) => writeAll(handle, data, position),
  truncate: (length) => handle.truncate(length),
  sync: () => handle.datasync(),
  close: () => handle.close(),
});

/**
 * File names are stored in the blocks of their folder: after a power failure a file may have lost its new name, or
 * have its old one again, unless the folder was synced.
 */
async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

async function ensureFolder(path: string): Promise<void> {
  try {
    await mkdir(path);
  } catch (error) {
    if (isCode(error, 'EEXIST')) return;
    throw error;
  }
  await syncFolder(dirname(path));
}

async function freeBytes(folder: string): Promise<number> {
  const { bavail, bsize } = await statfs(folder);
  return bavail * bsize;
}

const ONE_BYTE = new Uint8Array(1);

/** The runtime's threads take work in order, of whatever kind; this one needs no disk. */
function threadFree(): Promise<void> {
  return new Promise((resolve) => {
    randomFill(ONE_BYTE, () => {
      resolve();
    });
  });
}

/** Files on the machine's disk; `sync` calls `fdatasync`. */
export const fileDisk: Disk = {
  ensureFolder,
  list: (folder) => readdir(folder),
  read: (path) => readFile(path),
  open: async (path) => wrap(await open(path, constants.O_RDWR | constants.O_CREAT, 0o600)),
  rename: (from, to) => rename(from, to),
  remove: (path) => unlink(path),
  syncFolder,
  freeBytes,
  lock: lockFolder,
  threadFree,
};

/**
 * A disk without folder locks, for platforms that never run two processes on one folder and whose disks have no
 * hard links. The lock needs them so that the lock file appears with its whole content at once.
 */
export function withoutLock(disk: Disk): Disk {
  const unlocked = Object.create(disk) as Disk;
  return Object.assign(unlocked, { lock: () => Promise.resolve(() => Promise.resolve()) });
}
