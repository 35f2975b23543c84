/** Origins of streams on the disk: files of checksummed records, appended to and dropped as a whole. */
import { join } from 'node:path';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { decodeFrames, encodeFrame } from '@jasmineroute/coordination';
import type { Disk, DiskFile } from '@jasmineroute/coordination';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';

const PREFIX = 'origins-';
const DIGITS = 10;

/** Files kept beside the one that is written: the older generation of the table. */
const KEPT_FILES = 1;

/**
 * Interval between two syncs, milliseconds. A loss of power loses the origins since the last one; a sync for each batch would
 * hold up the log on the same disk.
 */
const SYNC_INTERVAL_MS = 200;

/** Maximum number of origins that wait for a disk that hangs or is full; the oldest are dropped. */
const MAX_PENDING = 10_000;

const { StreamOriginsSchema } = controlMessage;

interface OpenFile {
  readonly path: string;
  readonly file: DiskFile;
  length: number;
}

/**
 * Appends origins without waiting for the disk. A disk that fails costs only what it does not hold: the origins stay in memory
 * and at another instance, so a failure is logged and the next batch is tried again.
 */
export class OriginFiles {
  private pending: controlMessage.StreamOrigin[] = [];
  /** Number of the next file. */
  private next = 0;
  private older: string[] = [];
  private current: OpenFile | undefined;
  private isRollDue = false;
  private isSyncDue = false;
  private isFailing = false;
  private writing: Promise<void> | undefined;

  constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Reads the origins of all files, the oldest first. */
  async load(): Promise<controlMessage.StreamOrigin[]> {
    const origins: controlMessage.StreamOrigin[] = [];
    await this.attempt(async () => {
      await this.disk.ensureFolder(this.folder);
      const names = (await this.disk.list(this.folder)).filter((name) => name.startsWith(PREFIX)).sort();
      this.older = names.map((name) => join(this.folder, name));
      this.next = Number(names.at(-1)?.slice(PREFIX.length) ?? 0) + 1;
      for (const path of this.older) origins.push(...(await this.read(path)));
    });
    return origins;
  }

  /** Appends origins; they are synced soon. */
  append(origins: readonly controlMessage.StreamOrigin[]): void {
    this.pending.push(...origins);
    if (this.pending.length > MAX_PENDING) this.pending = this.pending.slice(-MAX_PENDING);
    this.writing ??= this.attempt(() => this.writePending()).finally(() => {
      this.writing = undefined;
    });
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
    while (this.pending.length > 0) {
      const origins = this.pending;
      this.pending = [];
      await this.write(await this.writable(), origins);
    }
    this.scheduleSync();
  }

  private scheduleSync(): void {
    if (this.isSyncDue) return;
    this.isSyncDue = true;
    this.clock.after(SYNC_INTERVAL_MS, () => {
      this.isSyncDue = false;
      void this.attempt(async () => {
        await this.current?.file.sync();
        this.isFailing = false;
      });
    });
  }

  /** The file that is written. */
  private async writable(): Promise<OpenFile> {
    if (this.isRollDue && this.current !== undefined) {
      const { path, file } = this.current;
      this.current = undefined;
      this.older.push(path);
      await file.sync();
      await file.close();
    }
    this.isRollDue = false;
    if (this.current !== undefined) return this.current;
    while (this.older.length > KEPT_FILES) await this.disk.remove(this.older.shift() ?? '');
    const path = join(this.folder, `${PREFIX}${String(this.next).padStart(DIGITS, '0')}`);
    const file = await this.disk.open(path);
    await this.disk.syncFolder(this.folder);
    this.next += 1;
    this.current = { path, file, length: 0 };
    return this.current;
  }

  private async write(target: OpenFile, origins: controlMessage.StreamOrigin[]): Promise<void> {
    const frame = encodeFrame(toBinary(StreamOriginsSchema, create(StreamOriginsSchema, { origins })));
    // A write that fails may leave a part of it; the next one starts at the same place.
    await target.file.write(frame, target.length);
    target.length += frame.length;
  }

  private async read(path: string): Promise<controlMessage.StreamOrigin[]> {
    const { payloads, laterPayloads } = decodeFrames(await this.disk.read(path));
    const batches = [...payloads, ...laterPayloads];
    return batches.flatMap((payload) => fromBinary(StreamOriginsSchema, payload).origins);
  }

  /** Runs an operation on the disk; a failure is logged once until a sync succeeds. */
  private async attempt(operation: () => Promise<void>): Promise<void> {
    try {
      await operation();
    } catch (error) {
      if (!this.isFailing) this.log.event(controlEvents.originsNotStored, { problem: String(error) });
      this.isFailing = true;
    }
  }
}
