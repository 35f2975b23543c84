/** The log entries on disk: segments of checksummed records, appended and truncated at the tail, dropped at the head. */
import { join } from 'node:path';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { EntrySchema } from '../gen/agreement/agreement_pb.js';
import type { Entry } from '../gen/agreement/agreement_pb.js';
import type { Disk, DiskFile } from './disk.js';
import { decodeFrames, encodeFrame } from './frame.js';
import { CorruptFile } from './storageFault.js';

const PREFIX = 'journal-';
const DIGITS = 16;

/** One file with the entries from index `first` on, each at its offset. */
interface Segment {
  readonly first: bigint;
  readonly path: string;
  readonly file: DiskFile;
  readonly offsets: number[];
  length: number;
}

/** A journal and the entries that it holds. */
export interface OpenedJournal {
  readonly journal: Journal;
  readonly entries: Entry[];
  /** Bytes of an interrupted write that were removed. */
  readonly repairedBytes: number;
}

const nextIndexOf = (segment: Segment): bigint => segment.first + BigInt(segment.offsets.length);

const segmentName = (first: bigint): string => PREFIX + String(first).padStart(DIGITS, '0');

/** The caller appends and truncates one at a time; `sync` may run concurrently. */
export class Journal {
  private runningSync: Promise<void> | undefined;
  private queuedSync: Promise<void> | undefined;
  /** Why an incomplete record could not be removed. */
  private rollbackError: unknown;
  /** Why a sync failed: the system may have dropped what it could not write, so no later one counts. */
  private syncError: unknown;
  /** Index of the last entry that is known to be synced; 0: none. */
  private syncedIndex = 0n;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly segments: Segment[],
    private readonly segmentBytes: number,
  ) {}

  /**
   * Reads the folder's segments; new ones begin after `segmentBytes` each. Only the newest may end in an interrupted write, which is removed; older ones
   * were synced as a whole before the next one was started.
   * @throws CorruptFile, or a system error.
   */
  static async open(disk: Disk, folder: string, segmentBytes = Infinity): Promise<OpenedJournal> {
    const names = (await disk.list(folder)).filter((name) => name.startsWith(PREFIX)).sort();
    const journal = new Journal(disk, folder, [], segmentBytes);
    const entries: Entry[] = [];
    let repairedBytes = 0;
    for (const [position, name] of names.entries()) {
      const isNewest = position === names.length - 1;
      repairedBytes += await journal.loadSegment(join(folder, name), isNewest, entries);
    }
    return { journal, entries, repairedBytes };
  }

  /** Whether a sync failed. */
  get hasFailedSync(): boolean {
    return this.syncError !== undefined;
  }

  /** Bytes of all segments. */
  get bytes(): number {
    return this.segments.reduce((sum, { length }) => sum + length, 0);
  }

  /** Bytes of the segments that hold only entries up to `index`. */
  coveredBytes(index: bigint): number {
    const covered = this.segments.filter((segment) => nextIndexOf(segment) <= index + 1n);
    return covered.reduce((sum, { length }) => sum + length, 0);
  }

  /** Appends entries, without a sync of them. If the write fails, the file is left as it was. */
  async append(entries: readonly Entry[]): Promise<void> {
    const [head] = entries;
    if (head === undefined) return;
    this.checkRollback();
    const tail = await this.tailFor(head.index);
    const { syncedIndex } = this;
    const frames = entries.map((entry) => encodeFrame(toBinary(EntrySchema, { ...entry, syncedIndex })));
    const start = tail.length;
    try {
      await tail.file.write(Buffer.concat(frames), start);
    } catch (error) {
      // A full disk accepts part of the write. If it stayed, entries after it could not be read at the next start.
      await tail.file.truncate(start).catch((cause: unknown) => {
        this.rollbackError = cause;
      });
      throw error;
    }
    for (const frame of frames) {
      tail.offsets.push(tail.length);
      tail.length += frame.length;
    }
  }

  /** Drops all entries from `index` on, synced. */
  async truncate(index: bigint): Promise<void> {
    for (let tail = this.segments.at(-1); tail !== undefined; tail = this.segments.at(-1)) {
      if (tail.first < index || this.segments.length === 1) break;
      await this.removeSegment(tail);
    }
    const tail = this.segments.at(-1);
    if (tail === undefined || nextIndexOf(tail) <= index) return;
    const kept = index > tail.first ? Number(index - tail.first) : 0;
    const length = tail.offsets[kept] ?? tail.length;
    await tail.file.truncate(length);
    tail.offsets.length = kept;
    tail.length = length;
    this.syncedIndex = 0n;
    // Synced before the next write: if that survived a power failure and the truncation did not, old bytes would follow it.
    await this.sync();
  }

  /** The segment for the next entry, at `index`. */
  private async tailFor(index: bigint): Promise<Segment> {
    const tail = this.segments.at(-1);
    if (tail === undefined) return this.beginSegment(index);
    if (!this.isLong(tail)) return tail;
    await this.roll(index);
    return this.segments.at(-1) ?? tail;
  }

  /** Whether a new segment is due. It needs a sync of this one; where one is missing, there is time to wait for it. */
  private isLong(tail: Segment): boolean {
    if (tail.length < this.segmentBytes) return false;
    return this.isSynced(tail) || tail.length >= 2 * this.segmentBytes;
  }

  private isSynced(tail: Segment): boolean {
    return this.syncedIndex >= nextIndexOf(tail) - 1n;
  }

  /** Syncs the previous entries and starts a new segment for entries from `index` on. */
  async roll(index: bigint): Promise<void> {
    const tail = this.segments.at(-1);
    if (tail === undefined || !this.isSynced(tail)) await this.sync();
    if (tail?.offsets.length === 0) return;
    await this.beginSegment(index);
  }

  /** Removes the segments that hold only entries before `index`. */
  async dropBefore(index: bigint): Promise<void> {
    for (let head = this.segments[0]; head !== undefined; head = this.segments[0]) {
      if (this.segments.length === 1 || nextIndexOf(head) > index) break;
      await this.removeSegment(head);
    }
  }

  /** Drops everything; the next entry is `index`. */
  async reset(index: bigint): Promise<void> {
    for (let tail = this.segments.at(-1); tail !== undefined; tail = this.segments.at(-1)) {
      await this.removeSegment(tail);
    }
    await this.beginSegment(index);
  }

  /**
   * Resolves once everything written before the call is synced. Calls during a running sync share the next one
   * (group commit).
   */
  sync(): Promise<void> {
    if (this.runningSync === undefined && this.queuedSync === undefined) return this.startSync();
    this.queuedSync ??= (this.runningSync ?? Promise.resolve())
      .catch(() => undefined)
      .then(() => {
        this.queuedSync = undefined;
        return this.startSync();
      });
    return this.queuedSync;
  }

  async close(): Promise<void> {
    await this.waitForSync();
    await Promise.all(this.segments.map((segment) => segment.file.close()));
  }

  private checkSync(): void {
    if (this.syncError === undefined) return;
    throw new Error('an earlier sync of the journal failed', { cause: this.syncError });
  }

  private checkRollback(): void {
    this.checkSync();
    if (this.rollbackError === undefined) return;
    throw new Error('an incomplete write could not be removed from the journal', {
      cause: this.rollbackError,
    });
  }

  private startSync(): Promise<void> {
    const tail = this.segments.at(-1);
    if (tail === undefined) return Promise.resolve();
    const last = nextIndexOf(tail) - 1n;
    const running = tail.file
      .sync()
      .then(
        () => {
          this.checkSync();
          this.syncedIndex = last;
        },
        (error: unknown) => {
          this.syncError ??= error;
          throw error;
        },
      )
      .finally(() => {
        if (this.runningSync === running) this.runningSync = undefined;
      });
    this.runningSync = running;
    return running;
  }

  /** Waits for running syncs: a file must not be closed during one. */
  private async waitForSync(): Promise<void> {
    while (this.runningSync !== undefined) await this.runningSync.catch(() => undefined);
  }

  private async beginSegment(first: bigint): Promise<Segment> {
    const path = join(this.folder, segmentName(first));
    const file = await this.disk.open(path);
    try {
      await file.truncate(0);
      await this.disk.syncFolder(this.folder);
    } catch (error) {
      await this.discard(path, file);
      throw error;
    }
    const segment = { first, path, file, offsets: [], length: 0 };
    this.segments.push(segment);
    return segment;
  }

  /** Removes a segment that could not be begun: entries go on in the one before it, which must then be the newest. */
  private async discard(path: string, file: DiskFile): Promise<void> {
    try {
      await file.close();
      await this.disk.remove(path);
      await this.disk.syncFolder(this.folder);
    } catch (cause) {
      this.rollbackError = cause;
    }
  }

  /** Syncs the folder after each removal: a power failure could otherwise undo any of several, leaving a gap between segments. */
  private async removeSegment(segment: Segment): Promise<void> {
    await this.waitForSync();
    await this.disk.remove(segment.path);
    await this.disk.syncFolder(this.folder);
    this.segments.splice(this.segments.indexOf(segment), 1);
    await segment.file.close();
  }

  private async loadSegment(path: string, isNewest: boolean, entries: Entry[]): Promise<number> {
    const frames = decodeFrames(await this.disk.read(path));
    const isDamaged = frames.ending === 'corrupt' || (frames.ending !== 'whole' && !isNewest);
    if (isDamaged) throw new CorruptFile(path, `checksum mismatch at byte ${frames.end}`);
    const first = BigInt(path.slice(-DIGITS));
    const next = (): bigint => (entries.at(-1)?.index ?? first - 1n) + 1n;
    for (const payload of frames.payloads) {
      const entry = fromBinary(EntrySchema, payload);
      const expected = next();
      if (entry.index !== expected) {
        throw new CorruptFile(path, `entry ${entry.index.toString()} where ${expected.toString()} belongs`);
      }
      entries.push(entry);
    }
    // A record after the gap holds the index that was synced before it was written. Entries up to it were acknowledged, so
    // their loss is an error.
    const synced = frames.laterPayloads.map((payload) => fromBinary(EntrySchema, payload).syncedIndex);
    if (synced.some((index) => index >= next())) {
      throw new CorruptFile(path, `entry ${next().toString()} was synced and is gone`);
    }
    const file = await this.disk.open(path);
    const excess = (await file.size()) - frames.end;
    if (excess > 0) {
      await file.truncate(frames.end);
      await file.sync();
    }
    this.segments.push({ first, path, file, offsets: frames.offsets, length: frames.end });
    return excess;
  }
}
