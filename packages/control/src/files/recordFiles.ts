/** Records of a table on the disk: files of checksummed batches, appended to and dropped as a whole. */
import { join } from 'node:path';
import { decodeFrames, encodeFrame } from '@jasmineroute/coordination';
import type { Disk, DiskFile } from '@jasmineroute/coordination';
import type { Clock, Log } from '@jasmineroute/core';
import { controlEvents } from '../events.js';

const DIGITS = 10;

/** Maximum number of records that wait for a disk that hangs or is full; the oldest are dropped. */
const MAX_PENDING = 10_000;

/** A file that is no longer written. */
interface OlderFile {
  readonly path: string;
  readonly bytes: number;
}

interface OpenFile {
  readonly path: string;
  readonly file: DiskFile;
  length: number;
}

/** What the files hold. */
export interface RecordFormat<T> {
  /** Beginning of the files' names. */
  readonly prefix: string;
  readonly encode: (records: T[]) => Uint8Array;
  readonly decode: (batch: Uint8Array) => T[];
  /**
   * Time from a write to its sync, milliseconds. A loss of power loses the records since the last sync; a sync for each batch
   * of frequent ones would hold up the log on the same disk.
   */
  readonly syncDelayMs: number;
  /** Files kept beside the one that is written. */
  readonly keptFiles: number;
}

/**
 * Appends records without waiting for the disk. A disk that fails costs only what it does not hold: the records stay in memory
 * and at another instance, so a failure is logged and the next batch is tried again.
 */
export class RecordFiles<T> {
  private pending: T[] = [];
  /** Number of the next file. */
  private next = 0;
  private older: OlderFile[] = [];
  private current: OpenFile | undefined;
  private isRollDue = false;
  private isSyncDue = false;
  private isFailing = false;
  /** Resolves with whether all records appended so far were written. */
  private writing: Promise<boolean> | undefined;

  constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly format: RecordFormat<T>,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Bytes of all files. */
  heldBytes(): number {
    return this.older.reduce((sum, { bytes }) => sum + bytes, this.current?.length ?? 0);
  }

  /** Reads the records of all files, the oldest first. */
  async load(): Promise<T[]> {
    const { prefix } = this.format;
    const records: T[] = [];
    await this.attempt(async () => {
      await this.disk.ensureFolder(this.folder);
      const names = (await this.disk.list(this.folder)).filter((name) => name.startsWith(prefix)).sort();
      this.next = Number(names.at(-1)?.slice(prefix.length) ?? 0) + 1;
      for (const name of names) {
        const path = join(this.folder, name);
        const content = await this.disk.read(path);
        this.older.push({ path, bytes: content.length });
        records.push(...this.decode(content));
      }
    });
    return records;
  }

  /** Appends records; they are synced soon. */
  append(records: readonly T[]): void {
    if (records.length === 0) return;
    this.pending.push(...records);
    if (this.pending.length > MAX_PENDING) this.pending = this.pending.slice(-MAX_PENDING);
    this.writing ??= this.attempt(() => this.writePending());
  }

  /** Appends records and syncs them. @returns whether they are on the disk. */
  async store(records: readonly T[]): Promise<boolean> {
    this.append(records);
    const isWritten = await this.writing;
    return isWritten === true && this.attempt(() => this.sync());
  }

  /** Begins a new file with the next append, and drops the oldest. */
  roll(): void {
    this.isRollDue = true;
  }

  /** Writes and syncs what is pending. */
  async close(): Promise<void> {
    await this.writing;
    await this.attempt(async () => {
      await this.current?.file.sync();
      await this.current?.file.close();
    });
  }

  private async writePending(): Promise<void> {
    try {
      while (this.pending.length > 0) {
        const records = this.pending;
        this.pending = [];
        await this.write(await this.writable(), records);
      }
    } finally {
      // In the same turn as the last look at what is pending: an append must start a write of its own from here on.
      this.writing = undefined;
    }
    this.scheduleSync();
  }

  private scheduleSync(): void {
    if (this.isSyncDue) return;
    this.isSyncDue = true;
    this.clock.after(this.format.syncDelayMs, () => {
      this.isSyncDue = false;
      void this.attempt(() => this.sync());
    });
  }

  private async sync(): Promise<void> {
    await this.current?.file.sync();
    this.isFailing = false;
  }

  /** The file that is written. */
  private async writable(): Promise<OpenFile> {
    if (this.isRollDue && this.current !== undefined) {
      const { path, file, length: bytes } = this.current;
      this.current = undefined;
      this.older.push({ path, bytes });
      await file.sync();
      await file.close();
    }
    this.isRollDue = false;
    if (this.current !== undefined) return this.current;
    while (this.older.length > this.format.keptFiles) await this.disk.remove(this.older.shift()?.path ?? '');
    const path = join(this.folder, `${this.format.prefix}${String(this.next).padStart(DIGITS, '0')}`);
    const file = await this.disk.open(path);
    await this.disk.syncFolder(this.folder);
    this.next += 1;
    this.current = { path, file, length: 0 };
    return this.current;
  }

  private async write(target: OpenFile, records: T[]): Promise<void> {
    const frame = encodeFrame(this.format.encode(records));
    // A write that fails may leave a part of it; the next one starts at the same place.
    await target.file.write(frame, target.length);
    target.length += frame.length;
  }

  private decode(content: Uint8Array): T[] {
    const { payloads, laterPayloads } = decodeFrames(content);
    const batches = [...payloads, ...laterPayloads];
    return batches.flatMap((payload) => this.format.decode(payload));
  }

  /** Runs an operation on the disk; a failure is logged once until a sync succeeds. @returns whether it succeeded. */
  private async attempt(operation: () => Promise<void>): Promise<boolean> {
    try {
      await operation();
      return true;
    } catch (error) {
      if (!this.isFailing)
        this.log.event(controlEvents.recordsNotStored, { folder: this.folder, problem: String(error) });
      this.isFailing = true;
      return false;
    }
  }
}
