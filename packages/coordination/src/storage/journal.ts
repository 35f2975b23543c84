/** The entries of the log on disk: segments of checksummed records, appended, cut at the tail, dropped at the head. */
import { join } from 'node:path';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { EntrySchema } from '../gen/agreement/agreement_pb.js';
import type { Entry } from '../gen/agreement/agreement_pb.js';
import type { Disk, DiskFile } from './disk.js';
import { decodeFrames, encodeFrame } from './frame.js';
import { CorruptFile } from './storageFault.js';

const PREFIX = 'journal-';
const DIGITS = 16;

/** One file: entries from `first` on, each at its offset. */
interface Segment {
  readonly first: bigint;
  readonly path: string;
  readonly file: DiskFile;
  readonly offsets: number[];
  length: number;
}

/** What is in the folder. */
export interface OpenedJournal {
  readonly journal: Journal;
  readonly entries: Entry[];
  /** Bytes of an interrupted write that were cut off. */
  readonly repairedBytes: number;
}

const endOf = (segment: Segment): bigint => segment.first + BigInt(segment.offsets.length);

const segmentName = (first: bigint): string => PREFIX + String(first).padStart(DIGITS, '0');

/** Appends and cuts are made one at a time by the caller; `sync` may run beside them. */
export class Journal {
  private running: Promise<void> | undefined;
  private queued: Promise<void> | undefined;
  /** Why a half-written record could not be taken back. */
  private broken: unknown;
  /** The last entry that is known to be synced; 0: none is. */
  private syncedIndex = 0n;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly segments: Segment[],
  ) {}

  /**
   * Reads the folder's segments. Only the newest may end in an interrupted write, which is cut off; older ones
   * were synced whole before the next was begun.
   * @throws CorruptFile, or a system error.
   */
  static async open(disk: Disk, folder: string): Promise<OpenedJournal> {
    const names = (await disk.list(folder)).filter((name) => name.startsWith(PREFIX)).sort();
    const journal = new Journal(disk, folder, []);
    const entries: Entry[] = [];
    let repairedBytes = 0;
    for (const [position, name] of names.entries()) {
      const isNewest = position === names.length - 1;
      repairedBytes += await journal.load(join(folder, name), isNewest, entries);
    }
    return { journal, entries, repairedBytes };
  }

  /** Writes entries behind the last one, not yet synced. Leaves the file as it was when the write fails. */
  async append(entries: readonly Entry[]): Promise<void> {
    const [head] = entries;
    if (head === undefined) return;
    this.checkWhole();
    const tail = this.segments.at(-1) ?? (await this.begin(head.index));
    const { syncedIndex } = this;
    const frames = entries.map((entry) => encodeFrame(toBinary(EntrySchema, { ...entry, syncedIndex })));
    const start = tail.length;
    try {
      await tail.file.write(Buffer.concat(frames), start);
    } catch (error) {
      // A full disk takes a part of the write. Left there, it would end the journal for good at the next start.
      await tail.file.truncate(start).catch((cause: unknown) => {
        this.broken = cause;
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
    if (tail === undefined || endOf(tail) <= index) return;
    const kept = index > tail.first ? Number(index - tail.first) : 0;
    const length = tail.offsets[kept] ?? tail.length;
    await tail.file.truncate(length);
    tail.offsets.length = kept;
    tail.length = length;
    this.syncedIndex = 0n;
    // Before anything is written in its place: with the cut lost and a later write kept, old bytes would stand behind it.
    await this.sync();
  }

  /** Begins a new segment for entries from `index` on, once all before is synced. */
  async roll(index: bigint): Promise<void> {
    await this.sync();
    if (this.segments.at(-1)?.offsets.length === 0) return;
    await this.begin(index);
  }

  /** Removes the segments that hold only entries before `index`. */
  async dropBefore(index: bigint): Promise<void> {
    for (let head = this.segments[0]; head !== undefined; head = this.segments[0]) {
      if (this.segments.length === 1 || endOf(head) > index) break;
      await this.removeSegment(head);
    }
  }

  /** Drops everything; the next entry is `index`. */
  async reset(index: bigint): Promise<void> {
    for (let tail = this.segments.at(-1); tail !== undefined; tail = this.segments.at(-1)) {
      await this.removeSegment(tail);
    }
    await this.begin(index);
  }

  /**
   * Resolves once everything written before the call is synced. Calls that come while a sync runs share the
   * next one: this is the group commit.
   */
  sync(): Promise<void> {
    if (this.running === undefined && this.queued === undefined) return this.startSync();
    this.queued ??= (this.running ?? Promise.resolve())
      .catch(() => undefined)
      .then(() => {
        this.queued = undefined;
        return this.startSync();
      });
    return this.queued;
  }

  async close(): Promise<void> {
    await this.idle();
    await Promise.all(this.segments.map((segment) => segment.file.close()));
  }

  private checkWhole(): void {
    if (this.broken === undefined) return;
    throw new Error('an unfinished write could not be taken back', { cause: this.broken });
  }

  private startSync(): Promise<void> {
    const tail = this.segments.at(-1);
    if (tail === undefined) return Promise.resolve();
    const last = endOf(tail) - 1n;
    const running = tail.file
      .sync()
      .then(() => {
        this.syncedIndex = last;
      })
      .finally(() => {
        if (this.running === running) this.running = undefined;
      });
    this.running = running;
    return running;
  }

  /** A file must not be closed under a running sync. */
  private async idle(): Promise<void> {
    while (this.running !== undefined) await this.running.catch(() => undefined);
  }

  private async begin(first: bigint): Promise<Segment> {
    const path = join(this.folder, segmentName(first));
    const file = await this.disk.open(path);
    await file.truncate(0);
    await this.disk.syncFolder(this.folder);
    const segment = { first, path, file, offsets: [], length: 0 };
    this.segments.push(segment);
    return segment;
  }

  /** The folder is synced after each one: of several removals a loss of power may leave any, and a gap between segments. */
  private async removeSegment(segment: Segment): Promise<void> {
    await this.idle();
    await this.disk.remove(segment.path);
    await this.disk.syncFolder(this.folder);
    this.segments.splice(this.segments.indexOf(segment), 1);
    await segment.file.close();
  }

  private async load(path: string, isNewest: boolean, entries: Entry[]): Promise<number> {
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
    // A record behind the gap tells what was synced before it was written: that is not repaired, as it was acknowledged.
    const synced = frames.later.map((payload) => fromBinary(EntrySchema, payload).syncedIndex);
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
