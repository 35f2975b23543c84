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

const min = (a: bigint, b: bigint): bigint => (a < b ? a : b);

const segmentName = (first: bigint): string => PREFIX + String(first).padStart(DIGITS, '0');

/**
 * Index up to which entries are known to be synced: those before the newest segment, and those that were synced before its last
 * record was written.
 */
function syncedIndexAfter(known: bigint, first: bigint, last: Entry | undefined): bigint {
  const indexes = [known, first - 1n, last?.syncedIndex ?? 0n];
  return indexes.reduce((highest, index) => (index > highest ? index : highest));
}

/** The caller appends and truncates one at a time; `sync` may run concurrently. */
export class Journal {
  private runningSync: Promise<void> | undefined;
  private queuedSync: Promise<void> | undefined;
  /** Error after which the content of the disk is unknown; everything but closing is refused. */
  private failure: Error | undefined;
  /** Index of the last entry that is known to be synced; 0: none. */
  private synced = 0n;
  /** Whether entries after `synced` were only read, so that a sync does not make them durable. */
  private isTailDoubtful = true;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly segments: Segment[],
    private readonly segmentBytes: number,
  ) {}

  /**
   * Reads the folder's segments; new ones begin after `segmentBytes` each. Only the newest may end in an interrupted write,
   * which is removed; older ones were synced as a whole before the next one was started. Entries up to `synced` are known to
   * be synced. Later ones may only be in memory of the system until `rewriteTail`.
   * @throws CorruptFile, or a system error.
   */
  static async open(
    disk: Disk,
    folder: string,
    segmentBytes = Infinity,
    synced = 0n,
  ): Promise<OpenedJournal> {
    const names = (await disk.list(folder)).filter((name) => name.startsWith(PREFIX)).sort();
    const journal = new Journal(disk, folder, [], segmentBytes);
    journal.synced = synced;
    try {
      return await journal.load(names);
    } catch (error) {
      await journal.close();
      throw error;
    }
  }

  /** Whether there is no entry, and the next one is `index`. */
  isEmptyAt(index: bigint): boolean {
    const [only, ...others] = this.segments;
    return only?.first === index && only.offsets.length === 0 && others.length === 0;
  }

  /** Index of the last entry that is known to be synced; 0: none. */
  get syncedIndex(): bigint {
    return this.synced;
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
    this.checkContent();
    const tail = await this.tailFor(head.index);
    const { synced: syncedIndex } = this;
    const frames = entries.map((entry) => encodeFrame(toBinary(EntrySchema, { ...entry, syncedIndex })));
    const start = tail.length;
    try {
      await tail.file.write(Buffer.concat(frames), start);
    } catch (error) {
      await this.removeAfter(tail, start);
      throw error;
    }
    for (const frame of frames) {
      tail.offsets.push(tail.length);
      tail.length += frame.length;
    }
  }

  /** Drops all entries from `index` on, synced. */
  async truncate(index: bigint): Promise<void> {
    await this.removeFrom(index).finally(() => {
      this.synced = min(this.synced, index - 1n);
    });
  }

  private async removeFrom(index: bigint): Promise<void> {
    for (let tail = this.segments.at(-1); tail !== undefined; tail = this.segments.at(-1)) {
      if (tail.first < index || this.segments.length === 1) break;
      await this.removeSegment(tail);
    }
    const tail = this.segments.at(-1);
    if (tail === undefined || nextIndexOf(tail) <= index) return;
    const kept = index > tail.first ? Number(index - tail.first) : 0;
    const length = tail.offsets[kept] ?? tail.length;
    await this.orUnknown(() => tail.file.truncate(length));
    tail.offsets.length = kept;
    tail.length = length;
    // Synced before the next write: if that survived a power failure and the truncation did not, old bytes would follow it.
    await this.sync();
  }

  /**
   * Writes the entries after the last one that is known to be synced again, in place, and syncs them. They can be read, but may
   * not be on the disk: the system keeps pages in memory that it failed to write, and does not write them at a further sync.
   */
  async rewriteTail(): Promise<void> {
    const tail = this.segments.at(-1);
    if (tail !== undefined) await this.rewrite(tail);
    this.isTailDoubtful = false;
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
    return this.synced >= nextIndexOf(tail) - 1n;
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
    this.synced = index - 1n;
    this.isTailDoubtful = false;
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

  /** Whether an error left the content of the disk unknown. */
  get isUnknown(): boolean {
    return this.failure !== undefined;
  }

  /** The error that left the content of the disk unknown. */
  get error(): Error | undefined {
    return this.failure;
  }

  private checkContent(): void {
    if (this.failure !== undefined) throw this.failure;
  }

  /** Runs an action after whose failure the content of the disk is unknown. */
  private async orUnknown<T>(action: () => Promise<T>): Promise<T> {
    this.checkContent();
    try {
      return await action();
    } catch (error) {
      this.failure ??= error instanceof Error ? error : new Error(String(error));
      throw error;
    }
  }

  /**
   * Removes the part that a failed write left, synced. If it stayed, entries after it could not be read at the next start; if it
   * came back after a loss of power, commands that were reported as not run would run.
   */
  private async removeAfter(tail: Segment, length: number): Promise<void> {
    try {
      await this.orUnknown(() => tail.file.truncate(length));
      await this.sync();
    } catch {
      // The journal now refuses everything, with this error.
    }
  }

  private startSync(): Promise<void> {
    const tail = this.segments.at(-1);
    if (tail === undefined) return Promise.resolve();
    const last = nextIndexOf(tail) - 1n;
    const running = this.orUnknown(() => tail.file.sync())
      .then(() => {
        if (!this.isTailDoubtful) this.synced = last;
      })
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

  private beginSegment(first: bigint): Promise<Segment> {
    return this.orUnknown(async () => {
      const path = join(this.folder, segmentName(first));
      const file = await this.disk.open(path);
      const segment = { first, path, file, offsets: [], length: 0 };
      this.segments.push(segment);
      await file.truncate(0);
      await this.disk.syncFolder(this.folder);
      return segment;
    });
  }

  /** Syncs the folder after each removal: a power failure could otherwise undo any of several, leaving a gap between segments. */
  private async removeSegment(segment: Segment): Promise<void> {
    await this.waitForSync();
    await this.orUnknown(async () => {
      await this.disk.remove(segment.path);
      await this.disk.syncFolder(this.folder);
    });
    this.segments.splice(this.segments.indexOf(segment), 1);
    await segment.file.close();
  }

  private async load(names: readonly string[]): Promise<OpenedJournal> {
    const entries: Entry[] = [];
    let repairedBytes = 0;
    for (const [position, name] of names.entries()) {
      const isNewest = position === names.length - 1;
      repairedBytes += await this.loadSegment(join(this.folder, name), isNewest, entries);
    }
    const tail = this.segments.at(-1);
    if (tail !== undefined) this.synced = min(this.synced, nextIndexOf(tail) - 1n);
    // The process that began the segment may have been ended before its name was durable.
    if (tail?.offsets.length === 0) await this.orRefusing(() => this.disk.syncFolder(this.folder));
    return { journal: this, entries, repairedBytes };
  }

  private async rewrite(tail: Segment): Promise<void> {
    const position = this.synced < tail.first ? 0 : Number(this.synced - tail.first) + 1;
    const start = tail.offsets[position];
    if (start === undefined) return;
    await this.orUnknown(async () => {
      const data = await this.disk.read(tail.path);
      await tail.file.write(data.subarray(start, tail.length), start);
    });
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
    this.segments.push({ first, path, file, offsets: frames.offsets, length: frames.end });
    if (isNewest) this.synced = syncedIndexAfter(this.synced, first, entries.at(-1));
    const excess = (await file.size()) - frames.end;
    if (excess > 0) {
      await this.orRefusing(async () => {
        await file.truncate(frames.end);
        await file.sync();
      });
    }
    return excess;
  }

  /** As `reset`; where the disk refuses it, the journal refuses all writes until a recovery. */
  resetOrRefuse(first: bigint): Promise<void> {
    return this.orRefusing(() => this.reset(first));
  }

  /** Runs an action without which the journal can be read, but not written: after its failure all writes are refused with it. */
  private async orRefusing(action: () => Promise<void>): Promise<void> {
    try {
      await this.orUnknown(action);
    } catch {
      // Kept as `failure`.
    }
  }
}
