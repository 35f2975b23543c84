/** Port to the file system: what the journal and the snapshots need of it, and no more. */

/** Gives up the lock on a folder. */
export type Release = () => Promise<void>;

/** An open file. All methods reject with a Node system error (`code` such as `ENOSPC`). */
export interface DiskFile {
  /** Bytes in the file. */
  size(): Promise<number>;
  /** Writes all of `data` at `position`. A rejected write may have left a part of it. */
  write(data: Uint8Array, position: number): Promise<void>;
  /** Cuts the file to `length` bytes. */
  truncate(length: number): Promise<void>;
  /** Resolves once data and length survive a power cut. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** A file system. Paths are absolute or relative to the process; all methods reject with system errors. */
export interface Disk {
  /** Creates the folder, durably, when it is missing. The folder above must exist. */
  ensureFolder(path: string): Promise<void>;
  /** Names of the files in a folder. */
  list(folder: string): Promise<string[]>;
  read(path: string): Promise<Uint8Array>;
  /** Opens for reading and writing; creates an empty file when there is none. */
  open(path: string): Promise<DiskFile>;
  /** Replaces `to` by `from` in one step; lasting only after `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Makes created, renamed and removed names of a folder last. */
  syncFolder(folder: string): Promise<void>;
  /** Takes the folder for this process alone. Rejects with `FolderLocked` when another one has it. */
  lock(folder: string): Promise<Release>;
}

/** Another process uses the folder. */
export class FolderLocked extends Error {
  readonly code = 'FOLDER_LOCKED';

  constructor(folder: string, holder: string) {
    super(`folder ${folder} is in use by process ${holder}`);
    this.name = 'FolderLocked';
  }
}
