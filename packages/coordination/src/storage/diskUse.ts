/** What all users of a disk in this process share: a call of one may wait for those of others. */
import type { Disk } from './disk.js';

/** Use of a disk. */
export class DiskUse {
  /** Bytes that are written to any file and not durable yet. */
  unsyncedBytes = 0;
  /** Calls that count as hanging. */
  overdueCalls = 0;
  /** Begins the limits of calls that may wait for a thread. */
  readonly waiting = new Set<() => void>();

  /** Begins all limits: threads that calls to this disk hold may never be free. */
  beginLimits(): void {
    for (const begin of [...this.waiting]) begin();
  }
}

const known = new WeakMap<Disk, DiskUse>();

/** The use of a disk. */
export function useOf(disk: Disk): DiskUse {
  const use = known.get(disk) ?? new DiskUse();
  known.set(disk, use);
  return use;
}

/** The unsynced bytes of one file. Its actions are called at once. */
export class UnsyncedFile {
  /** Bytes that no sync covers. */
  private written = 0;

  constructor(private readonly use: DiskUse) {}

  /** Counts a write; of one that fails nothing counts, as what it left is cut. */
  async write(bytes: number, action: () => Promise<void>): Promise<void> {
    this.written += bytes;
    this.use.unsyncedBytes += bytes;
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
      this.use.unsyncedBytes -= covered;
    }
  }

  /** Counts nothing of the file any more. */
  close(): void {
    this.forget(this.written);
  }

  private forget(bytes: number): void {
    this.written -= bytes;
    this.use.unsyncedBytes -= bytes;
  }
}
