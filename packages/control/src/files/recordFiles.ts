/** Records of a table on the disk: files of checksummed batches, appended to and dropped as a whole. */
import { join } from 'node:path';
import { BoundedDisk, decodeFrames, encodeFrame } from '@jasmineroute/coordination';
import type { Disk, DiskFile } from '@jasmineroute/coordination';
import { silentMetrics } from '@jasmineroute/core';
import type { Cancellation, Clock, Log } from '@jasmineroute/core';
import { controlEvents } from '../events.js';

const DIGITS = 10;

/** Maximum number of records that wait for a disk that hangs or is full; the oldest are dropped. */
const MAX_PENDING = 10_000;

/** Time after which a call to the disk that has not returned counts as failed, milliseconds. */
const HANG_MS = 1_000;

/** Pause after a failure before the next attempt, milliseconds. A new record is tried at once. */
const RETRY_MS = 2_000;

/** Share of the bound from which on a file is full; with the largest write it holds half of the bound. */
const FULL_SHARE = 3 / 8;

/** Share of the bound that one write takes at most. */
const WRITE_SHARE = 1 / 8;

/** A file that is no longer written. */
interface OlderFile {
  readonly path: string;
  readonly bytes: number;
}

interface OpenFile {
  readonly path: string;
  readonly file: DiskFile;
  length: number;
  /** Bytes up to the last sync that succeeded. */
  syncedLength: number;
  /** Whether there may be bytes beyond `length`: a write or a sync failed. */
  isDirty: boolean;
}

/** Records that were appended together. */
interface Batch<T> {
  readonly records: readonly T[];
  /** Tells whoever waits for them whether they are on the disk. */
  settle?: ((isStored: boolean) => void) | undefined;
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

const countOf = <T>(batches: readonly Batch<T>[]): number =>
  batches.reduce((sum, { records }) => sum + records.length, 0);

/** Tells those who wait for the batches; what is appended later may still store them. */
function settleAll<T>(batches: readonly Batch<T>[], isStored: boolean): void {
  for (const batch of batches) {
    batch.settle?.(isStored);
    batch.settle = undefined;
  }
}

/**
 * Appends records without waiting for the disk. A disk that fails costs only what it does not hold: the records stay in memory
 * and at another instance, so a failure is logged, and what was not synced is written again.
 */
export class RecordFiles<T> {
  private readonly disk: BoundedDisk;
  /** Batches that are to be written. */
  private pending: Batch<T>[] = [];
  /** Batches that were written since the last sync. */
  private unsynced: Batch<T>[] = [];
  /** Number of the next file; undefined: the folder was not listed yet. */
  private next: number | undefined;
  private older: OlderFile[] = [];
  private current: OpenFile | undefined;
  private isRollDue = false;
  private isSyncDue = false;
  private isFailing = false;
  private cancelSync: Cancellation | undefined;
  private cancelRetry: Cancellation | undefined;
  private working: Promise<void> | undefined;
  private beginning: () => readonly T[] = () => [];

  /** @param maxBytes bytes that all files may hold; the oldest records give way. */
  constructor(
    disk: Disk,
    private readonly folder: string,
    private readonly format: RecordFormat<T>,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly maxBytes = Number.POSITIVE_INFINITY,
  ) {
    this.disk = new BoundedDisk({ disk, clock, log, metrics: silentMetrics, limitMs: HANG_MS });
    this.disk.bound();
  }

  /** Sets the records with which each new file begins. */
  beginWith(beginning: () => readonly T[]): void {
    this.beginning = beginning;
  }

  /** Bytes of all files. */
  heldBytes(): number {
    return this.older.reduce((sum, { bytes }) => sum + bytes, this.current?.length ?? 0);
  }

  /** Reads the records of all files, the oldest first. */
  async load(): Promise<T[]> {
    const records: T[] = [];
    try {
      await this.disk.ensureFolder(this.folder);
      for (const path of await this.listFiles()) {
        const content = await this.disk.read(path);
        this.older.push({ path, bytes: content.length });
        records.push(...this.decode(content));
      }
    } catch (error) {
      this.logFailure(error);
    }
    return records;
  }

  /** Appends records; they are synced soon. */
  append(records: readonly T[]): void {
    if (records.length === 0) return;
    this.enqueue({ records });
    this.cancelSync ??= this.clock.after(this.format.syncDelayMs, () => {
      this.cancelSync = undefined;
      this.isSyncDue = true;
      this.start();
    });
  }

  /** Appends records and syncs them. @returns whether they are on the disk. */
  async store(records: readonly T[]): Promise<boolean> {
    if (records.length === 0) return true;
    return new Promise((settle) => {
      this.enqueue({ records, settle });
    });
  }

  /** Begins a new file with the next append, and drops the oldest. */
  roll(): void {
    this.isRollDue = true;
  }

  /** Writes and syncs what is pending. */
  async close(): Promise<void> {
    this.cancelSync?.();
    await this.working;
    this.isSyncDue = true;
    this.start();
    await this.working;
    this.cancelRetry?.();
    await this.current?.file.close().catch((error: unknown) => {
      this.logFailure(error);
    });
  }

  private enqueue(batch: Batch<T>): void {
    this.pending.push(batch);
    this.dropOldest();
    this.start();
  }

  private dropOldest(): void {
    while (this.pending.length > 1 && countOf(this.pending) > MAX_PENDING)
      settleAll(this.pending.splice(0, 1), false);
  }

  private start(): void {
    this.working ??= this.work();
  }

  /** Writes and syncs, one operation after the other, until nothing is left to do or the disk fails. */
  private async work(): Promise<void> {
    // Deferred: appends of the same turn share a write, and `working` is set before the end.
    await Promise.resolve();
    try {
      while (this.pending.length > 0 || this.isSyncNeeded()) {
        if (this.pending.length > 0) await this.writePending();
        if (this.isSyncNeeded()) await this.sync();
      }
    } catch (error) {
      this.handleFailure(error);
    } finally {
      // In the same turn as the last look at what is pending: an append must start a new round from here on.
      this.working = undefined;
    }
  }

  private isSyncNeeded(): boolean {
    return this.isSyncDue || this.unsynced.some(({ settle }) => settle !== undefined);
  }

  private async writePending(): Promise<void> {
    const target = await this.writable();
    const batches = this.pending;
    this.pending = [];
    // Before the write: if it fails, they are written again together with what was not synced.
    this.unsynced.push(...batches);
    const frame = this.encode(target.length === 0 ? this.beginning() : [], batches);
    while (this.heldBytes() + frame.length > this.maxBytes && this.older.length > 0)
      await this.removeOldest();
    target.isDirty = true;
    await target.file.write(frame, target.length);
    target.isDirty = false;
    target.length += frame.length;
  }

  /** Encodes one write. Of more than fits, the oldest records are left out, and who waits for them learns it. */
  private encode(beginning: readonly T[], batches: readonly Batch<T>[]): Uint8Array {
    const most = this.maxBytes * WRITE_SHARE;
    let records = [...beginning, ...batches.flatMap((batch) => batch.records)];
    let frame = encodeFrame(this.format.encode(records));
    while (frame.length > most && records.length > 1) {
      records = records.slice(Math.ceil(records.length / 2));
      frame = encodeFrame(this.format.encode(records));
    }
    let left = records.length;
    for (const batch of [...batches].reverse()) {
      if (batch.records.length > left) settleAll([batch], false);
      left = Math.max(0, left - batch.records.length);
    }
    return frame;
  }

  private async sync(): Promise<void> {
    this.isSyncDue = false;
    const { current } = this;
    if (current !== undefined) {
      await current.file.sync();
      current.syncedLength = current.length;
    }
    settleAll(this.unsynced, true);
    this.unsynced = [];
    this.isFailing = false;
  }

  /**
   * What was written since the last sync is written again: a sync that fails may have dropped it, and a later one reports
   * success all the same.
   */
  private handleFailure(error: unknown): void {
    this.logFailure(error);
    this.pending = [...this.unsynced, ...this.pending];
    this.unsynced = [];
    settleAll(this.pending, false);
    this.dropOldest();
    if (this.current !== undefined) {
      this.current.length = this.current.syncedLength;
      this.current.isDirty = true;
    }
    this.cancelRetry?.();
    this.cancelRetry = this.clock.after(RETRY_MS, () => {
      this.isSyncDue = true;
      this.start();
    });
  }

  /** The file that is written, without bytes of failed writes. */
  private async writable(): Promise<OpenFile> {
    const isFull = (this.current?.length ?? 0) >= this.maxBytes * FULL_SHARE;
    if ((this.isRollDue || isFull) && this.current !== undefined) await this.closeCurrent(this.current);
    this.isRollDue = false;
    const current = this.current ?? (await this.createFile());
    await this.cutFailed(current);
    return current;
  }

  /** Removes what a write or a sync that failed left. */
  private async cutFailed(target: OpenFile): Promise<void> {
    if (!target.isDirty) return;
    await target.file.truncate(target.length);
    target.isDirty = false;
  }

  private async closeCurrent(current: OpenFile): Promise<void> {
    await this.cutFailed(current);
    await this.sync();
    this.current = undefined;
    this.older.push({ path: current.path, bytes: current.length });
    await current.file.close();
  }

  private async createFile(): Promise<OpenFile> {
    if (this.next === undefined) await this.listFiles();
    while (this.older.length > this.format.keptFiles) await this.removeOldest();
    const number = this.next ?? 1;
    const path = join(this.folder, `${this.format.prefix}${String(number).padStart(DIGITS, '0')}`);
    const file = await this.openNamed(path);
    this.next = number + 1;
    this.current = { path, file, length: 0, syncedLength: 0, isDirty: true };
    return this.current;
  }

  /** Opens a file whose name outlasts a loss of power; where that fails, the file is closed. */
  private async openNamed(path: string): Promise<DiskFile> {
    const file = await this.disk.open(path);
    try {
      await this.disk.syncFolder(this.folder);
    } catch (error) {
      await file.close();
      throw error;
    }
    return file;
  }

  private async removeOldest(): Promise<void> {
    const [oldest] = this.older;
    if (oldest === undefined) return;
    await this.disk.remove(oldest.path);
    this.older.shift();
  }

  /** Paths of the files, the oldest first. */
  private async listFiles(): Promise<string[]> {
    const { prefix } = this.format;
    const names = (await this.disk.list(this.folder)).filter((name) => name.startsWith(prefix)).sort();
    this.next = Number(names.at(-1)?.slice(prefix.length) ?? 0) + 1;
    return names.map((name) => join(this.folder, name));
  }

  private decode(content: Uint8Array): T[] {
    const { payloads, laterPayloads } = decodeFrames(content);
    const batches = [...payloads, ...laterPayloads];
    return batches.flatMap((payload) => this.format.decode(payload));
  }

  /** Logs a failure once until a sync succeeds. */
  private logFailure(error: unknown): void {
    if (!this.isFailing)
      this.log.event(controlEvents.recordsNotStored, { folder: this.folder, problem: String(error) });
    this.isFailing = true;
  }
}
