/** What is written to a disk and not durable yet. */
import type { Disk } from './disk.js';

/** Unsynced bytes of all files that this process has open on a disk: a call to one file may wait for those of others. */
export class UnsyncedBytes {
  total = 0;
}

const known = new WeakMap<Disk, UnsyncedBytes>();

/** The unsynced bytes of a disk, which all its users share. */
export function unsyncedBytesOf(disk: Disk): UnsyncedBytes {
  const bytes = known.get(disk) ?? new UnsyncedBytes();
  known.set(disk, bytes);
  return bytes;
}

/** The part of one file. Its actions are called at once. */
export class UnsyncedFile {
  /** Bytes that no sync covers. */
  private written = 0;

  constructor(private readonly disk: UnsyncedBytes) {}

  /** Counts a write; of one that fails nothing counts, as what it left is cut. */
  async write(bytes: number, action: () => Promise<void>): Promise<void> {
    this.written += bytes;
    this.disk.total += bytes;
    try {
      await action();
    } catch (error) {
      this.forget(Math.min(bytes, this.written));
      throw error;
    }
  }

  /** What was written before the call counts until the sync has returned. */
  async sync(action: () => Promise<void>): Promise<void> {
    const covered = this.written;
    this.written = 0;
    try {
      await action();
    } finally {
      this.disk.total -= covered;
    }
  }

  /** Counts nothing of the file any more. */
  close(): void {
    this.forget(this.written);
  }

  private forget(bytes: number): void {
    this.written -= bytes;
    this.disk.total -= bytes;
  }
}
