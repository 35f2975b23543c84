/** A disk whose calls fail when they are not answered in time. */
import { afterActive } from '@jasmineroute/core';
import type { Cancellation, Clock, Log, Metrics } from '@jasmineroute/core';
import { coordinationEvents } from '../events.js';
import { coordinationMetrics } from '../metrics.js';
import type { Disk, DiskFile, ReleaseLock } from './disk.js';
import { UnsyncedFile, useOf } from './diskUse.js';
import type { DiskUse } from './diskUse.js';
import { DiskHangs } from './storageFault.js';

/** Slowest rate at which a disk still counts as one that answers, bytes per millisecond. */
const LEAST_BYTES_PER_MS = 1_000;

/** Factor on the limit of a call that reads a whole file, whose size is not known. */
const READ_FACTOR = 8;

/** Limits after which a call that may still wait for a thread counts as begun. */
const THREAD_FACTOR = 10;

/** Time after which it is told again that a start waits for the disk. */
const REPEAT_MS = 30_000;

/** A call for which a start waits. */
export interface StartWait {
  readonly call: string;
  readonly since: Date;
}

/** Dependencies of a bounded disk. */
export interface BoundedDiskOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Time after which a call counts as hanging; it has more while much is written and not yet durable. */
  readonly limitMs: number;
  /** Called when a call of a start counts as hanging, and without a wait when it has returned. */
  readonly onStartWait?: ((wait: StartWait | undefined) => void) | undefined;
}

/**
 * After a call that is not answered in time, all calls are refused at once until it has returned: what it does late is done
 * before the next one begins. Its error says as little about what is on the disk as any other. Calls of a start are not bounded; it
 * is told which one a start waits for.
 */
export class BoundedDisk implements Disk {
  private isBounded = false;
  private overdueCalls = 0;
  /** Files to close once the overdue calls have returned. */
  private readonly unclosed: DiskFile[] = [];
  private readonly use: DiskUse;

  constructor(private readonly options: BoundedDiskOptions) {
    this.use = useOf(options.disk);
  }

  /** Bounds the calls from now on. */
  bound(): void {
    this.isBounded = true;
  }

  ensureFolder(path: string): Promise<void> {
    return this.call('mkdir', (disk) => disk.ensureFolder(path));
  }

  list(folder: string): Promise<string[]> {
    return this.call('scandir', (disk) => disk.list(folder));
  }

  read(path: string): Promise<Uint8Array> {
    return this.call('read', (disk) => disk.read(path), this.options.limitMs * READ_FACTOR);
  }

  open(path: string): Promise<DiskFile> {
    const { limitMs } = this.options;
    const closeLate = (file: DiskFile): Promise<void> => file.close();
    const opened = this.call('open', (disk) => disk.open(path), limitMs, closeLate);
    return opened.then((file) => this.boundedFile(file));
  }

  rename(from: string, to: string): Promise<void> {
    return this.call('rename', (disk) => disk.rename(from, to));
  }

  remove(path: string): Promise<void> {
    return this.call('unlink', (disk) => disk.remove(path));
  }

  syncFolder(folder: string): Promise<void> {
    return this.call('fsync', (disk) => disk.syncFolder(folder));
  }

  freeBytes(folder: string): Promise<number> {
    return this.call('statfs', (disk) => disk.freeBytes(folder));
  }

  async lock(folder: string): Promise<ReleaseLock> {
    const release = await this.call('lock', (disk) => disk.lock(folder));
    return () => this.call('unlock', release);
  }

  private boundedFile(file: DiskFile): DiskFile {
    const unsynced = new UnsyncedFile(this.use);
    return {
      size: () => this.call('fstat', () => file.size()),
      write: (data, position) =>
        this.call('write', () => unsynced.write(data.length, () => file.write(data, position))),
      truncate: (length) => this.call('ftruncate', () => file.truncate(length)),
      sync: () => this.call('fdatasync', () => unsynced.sync(() => file.sync())),
      close: () => {
        unsynced.close();
        return this.close(file);
      },
    };
  }

  private close(file: DiskFile): Promise<void> {
    if (this.overdueCalls === 0) return this.call('close', () => file.close());
    this.unclosed.push(file);
    return Promise.resolve();
  }

  private async closeUnclosed(): Promise<void> {
    const { log } = this.options;
    for (const file of this.unclosed.splice(0)) {
      await file.close().catch((error: unknown) => {
        log.event(coordinationEvents.lateDiskCall, { call: 'close', error: String(error) });
      });
    }
  }

  private call<T>(
    name: string,
    action: (disk: Disk) => Promise<T>,
    limitMs = this.options.limitMs,
    handleLate: (value: T) => Promise<void> = () => Promise.resolve(),
  ): Promise<T> {
    const { disk } = this.options;
    if (!this.isBounded) return this.watched(name, action(disk));
    if (this.overdueCalls > 0) return Promise.reject(new DiskHangs(name));
    // Before the call: a thread that was free for it takes the call next.
    const threadFree = disk.threadFree?.();
    const running = action(disk);
    // Not of what is written later: a disk that hangs would be noticed the later the more it is given.
    // Nor what is held back by a disk that is known to hang.
    const unsyncedMs = this.use.overdueCalls > 0 ? 0 : this.use.unsyncedBytes / LEAST_BYTES_PER_MS;
    const after = (expire: () => void): Cancellation =>
      this.afterLimit(limitMs + unsyncedMs, threadFree, expire);
    return this.inTime(name, running, after, handleLate);
  }

  /** Tells that a start waits once the limit has passed, and again after long pauses. */
  private async watched<T>(call: string, running: Promise<T>): Promise<T> {
    const { clock, log, limitMs, onStartWait } = this.options;
    const startedAt = clock.monotonic();
    const since = clock.now();
    let timesTold = 0;
    const tell = (): void => {
      timesTold += 1;
      const waitedMs = Math.round(clock.monotonic() - startedAt);
      log.event(coordinationEvents.startWaits, { call, since: since.toISOString(), waitedMs });
      onStartWait?.({ call, since });
      cancel = clock.after(REPEAT_MS, tell);
    };
    let cancel = clock.after(limitMs, tell);
    try {
      return await running;
    } finally {
      cancel();
      if (timesTold > 0) onStartWait?.(undefined);
    }
  }

  /** Rejects when the limit has passed. */
  private async inTime<T>(
    name: string,
    running: Promise<T>,
    afterLimit: (expire: () => void) => Cancellation,
    handleLate: (value: T) => Promise<void>,
  ): Promise<T> {
    const { clock } = this.options;
    const startedAt = clock.monotonic();
    let cancel: Cancellation = () => undefined;
    const expiry = new Promise<never>((_resolve, reject) => {
      cancel = afterLimit(() => {
        reject(new DiskHangs(name));
      });
    });
    try {
      return await Promise.race([running, expiry]);
    } catch (error) {
      if (error instanceof DiskHangs) void this.awaitLate(name, startedAt, running.then(handleLate));
      throw error;
    } finally {
      cancel();
    }
  }

  /** The limit begins once a thread has been free for the call, or another call hangs, or after a bound. */
  private afterLimit(
    limitMs: number,
    threadFree: Promise<void> | undefined,
    expire: () => void,
  ): Cancellation {
    const { clock, limitMs: callMs } = this.options;
    if (threadFree === undefined) return afterActive(clock, limitMs, expire);
    const { waiting } = this.use;
    let cancel: Cancellation = () => undefined;
    const begin = (): void => {
      if (!waiting.delete(begin)) return;
      cancel();
      cancel = afterActive(clock, limitMs, expire);
    };
    waiting.add(begin);
    cancel = clock.after(THREAD_FACTOR * callMs, begin);
    void threadFree.then(begin);
    return () => {
      waiting.delete(begin);
      cancel();
    };
  }

  private async awaitLate(call: string, startedAt: number, running: Promise<void>): Promise<void> {
    const { clock, log } = this.options;
    this.countOverdue(1);
    this.use.beginLimits();
    const error = await running.catch((cause: unknown) => String(cause));
    this.countOverdue(-1);
    const tookMs = Math.round(clock.monotonic() - startedAt);
    log.event(coordinationEvents.lateDiskCall, { call, tookMs, error: error ?? '' });
    if (this.overdueCalls === 0) await this.closeUnclosed();
  }

  private countOverdue(change: number): void {
    this.overdueCalls += change;
    this.use.overdueCalls += change;
    this.options.metrics.gauge(coordinationMetrics.overdueDiskCalls, this.overdueCalls);
  }
}
