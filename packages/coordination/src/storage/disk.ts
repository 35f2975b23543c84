/** Port to the file system, limited to what the journal and the snapshots need. */

/** Releases the lock on a folder. */
export type ReleaseLock = () => Promise<void>;

/** An open file. All methods reject with a Node system error (`code` such as `ENOSPC`). */
export interface DiskFile {
  /** Bytes in the file. */
  size(): Promise<number>;
  /** Writes all of `data` at `position`. A rejected write may have written part of it. */
  write(data: Uint8Array, position: number): Promise<void>;
  /** Truncates the file to `length` bytes. */
  truncate(length: number): Promise<void>;
  /** Resolves once data and length are durable. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** A file system. Paths are absolute or relative to the process; all methods reject with system errors. */
export interface Disk {
  /** Creates the folder, durably, if it is missing. The parent folder must exist. */
  ensureFolder(path: string): Promise<void>;
  /** Names of the files in a folder. */
  list(folder: string): Promise<string[]>;
  read(path: string): Promise<Uint8Array>;
  /** Opens for reading and writing; creates an empty file if it is missing. */
  open(path: string): Promise<DiskFile>;
  /** Atomically replaces `to` by `from`; durable only after `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Makes created, renamed and removed names in a folder durable. */
  syncFolder(folder: string): Promise<void>;
  /** Bytes that this process may still write to the folder's file system. Rejects where the system does not tell. */
  freeBytes(folder: string): Promise<number>;
  /** Locks the folder for this process. Rejects with `FolderLocked` when another process holds the lock. */
  lock(folder: string): Promise<ReleaseLock>;
  /**
   * Resolves once a thread of those that make the calls has been free; it makes the call that follows at once, if no other one
   * does before. Missing where calls wait for no thread.
   */
  readonly threadFree?: () => Promise<void>;
}

/** Another process has locked the folder. */
export class FolderLocked extends Error {
  readonly code = 'FOLDER_LOCKED';

  constructor(folder: string, holder: string) {
    super(`folder ${folder} is in use by process ${holder}`);
    this.name = 'FolderLocked';
  }
}
