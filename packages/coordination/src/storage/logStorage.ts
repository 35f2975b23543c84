/** The durable state of a replica: identity and vote, snapshot, journal. */
import { join } from 'node:path';
import { newId } from '@jasmineroute/core';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { Entry } from '../gen/agreement/agreement_pb.js';
import type { Disk, ReleaseLock } from './disk.js';
import type { FolderBudget } from './folderBudget.js';
import { Journal } from './journal.js';
import { TEMPORARY_SUFFIX, readRecords, replaceFile } from './recordFile.js';
import { readSnapshot, writeSnapshot } from './snapshotFile.js';
import type { Snapshot } from './snapshotFile.js';
import { CorruptFile, attempt, storageFault } from './storageFault.js';
import type { StorageFault, StorageOperation } from './storageFault.js';

const STATE_FILE = 'replica';
const PROBE_FILE = `probe${TEMPORARY_SUFFIX}`;
const PROBE = Buffer.alloc(1, 1);

/** Identity, term and vote of a replica, which must never be lost. */
export const persistentState = z.object({
  /** Generated when the folder is first used. */
  replicaId: z.string().min(1),
  /** Cluster that the replica has joined; empty: none yet. */
  clusterId: z.string(),
  /** Highest term seen. */
  term: z.string().transform((text) => BigInt(text)),
  /** Replica that received the vote in that term; empty: none. */
  votedFor: z.string(),
});

/** Parsed form of `persistentState`. */
export type PersistentState = z.output<typeof persistentState>;

/** State found in the folder at the start. */
export interface Recovered {
  readonly state: PersistentState;
  readonly snapshot: Snapshot | undefined;
  /** Entries after the snapshot, without a gap. */
  readonly entries: Entry[];
  /** Index up to which the entries are known to be synced. */
  readonly syncedIndex: bigint;
  /** Why the folder could be read, but not be made ready for writes; `recover` tries again. */
  readonly failure?: StorageFault;
  /** Bytes of an interrupted write that were removed. */
  readonly repairedBytes: number;
}

/** Log and vote that a replica holds in memory, to which its folder is brought by `recover`. */
export interface HeldState {
  readonly state: PersistentState;
  /** Entries in memory, without a gap. */
  readonly entries: readonly Entry[];
  readonly commitIndex: bigint;
  /** Index up to which entries may have been acknowledged. */
  readonly syncedIndex: bigint;
}

/** State after a recovery, durable. */
export interface RecoveredState {
  /** As held, or newer. */
  readonly state: PersistentState;
  /** A snapshot of entries that the replica doesn't hold, which replaces its log. */
  readonly snapshot?: Snapshot;
  /** The log after the snapshot, if there is one; otherwise the entries held. */
  readonly entries: readonly Entry[];
  /** Index up to which the entries are known to be synced. */
  readonly syncedIndex: bigint;
}

/** An opened folder. */
export interface OpenedStorage {
  readonly storage: LogStorage;
  readonly recovered: Recovered;
}

/** Bytes that the folder holds. */
export interface HeldBytes {
  readonly journal: number;
  /** Of the newest snapshot; while another is written, of both. */
  readonly snapshots: number;
  /** The most that journal and snapshots have held together since the start. */
  readonly largest: number;
}

/** Bounds of a folder, bytes. */
export type FolderBounds = Pick<FolderBudget, 'segmentBytes' | 'mostBytes'>;

const UNBOUNDED: FolderBounds = { segmentBytes: Infinity, mostBytes: Infinity };

/** Bytes of commands up to which a write is made beyond the bound: a new leader's first entry is empty. */
const SMALL_WRITE_BYTES = 1_024;

/** Storage of one replica. The caller makes changes one at a time; `sync` may run concurrently. */
export class LogStorage {
  /** Final: the error that left the disk's content unknown. */
  private failure: StorageFault | undefined;
  private largestBytes = 0;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private journal: Journal,
    private readonly release: ReleaseLock,
    private snapshotBytes: number,
    private readonly bounds: FolderBounds,
  ) {}

  /** Bytes that the folder holds now, and the most so far. */
  heldBytes(): HeldBytes {
    this.recordLargest();
    return { journal: this.journal.bytes, snapshots: this.snapshotBytes, largest: this.largestBytes };
  }

  /** Locks and reads a folder, and creates it if it is missing. Errors: storage-failed, with file and reason. */
  static async open(
    disk: Disk,
    folder: string,
    bounds: FolderBounds = UNBOUNDED,
  ): Promise<Result<OpenedStorage, StorageFault>> {
    return attempt('open', folder, async () => {
      await disk.ensureFolder(folder);
      const release = await disk.lock(folder);
      try {
        return await LogStorage.load(disk, folder, release, bounds);
      } catch (error) {
        await release();
        throw error;
      }
    });
  }

  /** Replaces identity, term and vote durably. */
  saveState(state: PersistentState): Promise<Result<void, StorageFault>> {
    return this.run('vote', () => writeState(this.disk, this.folder, state));
  }

  /** Bytes of the journal that a snapshot up to `index` frees. */
  coveredBytes(index: bigint): number {
    return this.journal.coveredBytes(index);
  }

  /**
   * Appends entries without a sync of them. After an error the journal is unchanged, unless the error is final: then a part of
   * the entries may be found at the next start, so they may have run. What exceeds the folder's bound is refused, unless it is
   * small: the disk must keep space for the vote.
   */
  async write(entries: readonly Entry[]): Promise<Result<void, StorageFault>> {
    if (this.failure !== undefined) return err(this.failure);
    const bytes = entries.reduce((sum, { command }) => sum + command.length, 0);
    const isBeyond = this.journal.bytes + this.snapshotBytes + bytes > this.bounds.mostBytes;
    if (isBeyond && bytes > SMALL_WRITE_BYTES)
      return err(storageFault('write', this.folder, new Error('the folder holds as much as it may')));
    const written = await this.run('write', () => this.journal.append(entries));
    if (written.isOk() || !written.error.isFinal) return written;
    return err({ ...written.error, ran: 'may-have-run' });
  }

  /** Drops the entries from `index` on. An error is final. */
  truncate(index: bigint): Promise<Result<void, StorageFault>> {
    return this.run('truncate', () => this.journal.truncate(index));
  }

  /**
   * Syncs everything written before the call. An error is final: the system may have dropped the pages that it could
   * not write, and a second sync would then report success for lost data.
   */
  sync(): Promise<Result<void, StorageFault>> {
    return this.run('sync', () => this.journal.sync());
  }

  /**
   * Stores a snapshot and drops the journal's segments that hold only entries before `keepFrom`. An error of the snapshot is
   * not final, a failed sync of the journal is.
   */
  saveSnapshot(snapshot: Snapshot, keepFrom: bigint, nextIndex: bigint): Promise<Result<void, StorageFault>> {
    return this.run('snapshot', async () => {
      await this.replaceSnapshot(snapshot);
      await this.journal.roll(nextIndex);
      await this.journal.dropBefore(keepFrom);
    });
  }

  /** Replaces the whole journal by a snapshot. An error while clearing the journal is final. */
  async installSnapshot(snapshot: Snapshot): Promise<Result<void, StorageFault>> {
    const written = await this.run('install', () => this.replaceSnapshot(snapshot));
    if (written.isErr()) return written;
    return this.run('clear', () => this.journal.reset(snapshot.lastIndex + 1n));
  }

  /** Whether the disk takes a small file. Needs no order with the changes, so that these don't wait for a disk that hangs. */
  async probe(): Promise<Result<void, StorageFault>> {
    const probed = await attempt('recover', this.folder, () => probeDisk(this.disk, this.folder));
    const isFinal = this.failure !== undefined || this.journal.isUnknown;
    return probed.mapErr((error) => ({ ...error, isFinal }));
  }

  /**
   * Makes the storage work again after an error; until it succeeds, a final error stays. Saves the vote. After a final error,
   * reads the folder as at a start, brings it to what the replica holds, and writes again all that is not known to be synced.
   * Error code CORRUPT: what was synced has changed.
   */
  async recover(held: HeldState): Promise<Result<RecoveredState, StorageFault>> {
    const { disk, folder, failure } = this;
    const result = await attempt('recover', folder, async () => {
      const recovered = failure === undefined ? held : await this.reopen(held);
      await writeState(disk, folder, recovered.state);
      return recovered;
    });
    // A sync of the journal may have failed meanwhile, whose error is final.
    const isFinal = failure !== undefined || this.journal.isUnknown;
    if (result.isErr()) return err({ ...result.error, isFinal });
    const { error } = this.journal;
    this.failure = error === undefined ? undefined : { ...storageFault('sync', folder, error), isFinal };
    return this.failure === undefined ? result : err(this.failure);
  }

  /** Closes the files and releases the lock; later writes fail. */
  async close(): Promise<void> {
    this.failure ??= storageFault('open', this.folder, new Error('the storage is closed'));
    await this.journal.close().catch(() => undefined);
    await this.release().catch(() => undefined);
  }

  /** Writes a snapshot; until it is saved, the folder holds the one before as well. */
  private async replaceSnapshot(snapshot: Snapshot): Promise<void> {
    const before = this.snapshotBytes;
    const after = snapshot.data.length;
    this.snapshotBytes = before + after;
    this.recordLargest();
    try {
      await writeSnapshot(this.disk, this.folder, snapshot);
      this.snapshotBytes = after;
    } catch (error) {
      this.snapshotBytes = before;
      throw error;
    }
  }

  private recordLargest(): void {
    this.largestBytes = Math.max(this.largestBytes, this.journal.bytes + this.snapshotBytes);
  }

  private async reopen(held: HeldState): Promise<RecoveredState> {
    const { disk, folder } = this;
    await this.journal.close();
    await probeDisk(disk, folder);
    const opened = await Journal.open(disk, folder, this.bounds.segmentBytes, this.journal.syncedIndex);
    this.journal = opened.journal;
    await removeTemporaryFiles(disk, folder);
    const state = newerState(await readState(disk, folder), held.state, folder);
    const snapshot = await readSnapshot(disk, folder);
    this.snapshotBytes = snapshot?.data.length ?? 0;
    const onDisk = await entriesAfterSnapshot(this.journal, opened.entries, snapshot, folder);
    const isNewer = snapshot !== undefined && snapshot.lastIndex > held.commitIndex;
    const entries = entriesHeldAfter(held, snapshot, isNewer);
    // Entries may be gone that a snapshot was about to replace.
    await this.reconcile(onDisk, entries, isNewer ? 0n : held.syncedIndex);
    const syncedIndex = entries.at(-1)?.index ?? snapshot?.lastIndex ?? 0n;
    return { state, snapshot: isNewer ? snapshot : undefined, entries, syncedIndex };
  }

  /** Makes the journal hold, synced, the entries that the replica holds after the snapshot. */
  private async reconcile(
    onDisk: readonly Entry[],
    entries: readonly Entry[],
    acknowledgedIndex: bigint,
  ): Promise<void> {
    const { journal } = this;
    const different = onDisk.findIndex(
      ({ index, term }, position) => entries[position]?.index !== index || entries[position].term !== term,
    );
    const agreeing = different < 0 ? onDisk.length : different;
    const missing = entries.slice(agreeing);
    const [firstMissing] = missing;
    if (firstMissing !== undefined && firstMissing.index <= acknowledgedIndex) {
      throw new CorruptFile(this.folder, `entry ${firstMissing.index.toString()} was synced and is gone`);
    }
    // Entries that the replica doesn't hold were left by a write that was reported as failed.
    const surplus = onDisk[agreeing];
    if (surplus !== undefined) await journal.truncate(surplus.index);
    await journal.rewriteTail();
    await journal.append(missing);
    await journal.sync();
  }

  /** Runs an operation. An error after which the content of the disk is unknown is final. */
  private async run(
    operation: StorageOperation,
    action: () => Promise<void>,
  ): Promise<Result<void, StorageFault>> {
    if (this.failure !== undefined) return err(this.failure);
    const result = await attempt(operation, this.folder, action);
    if (result.isOk() || !this.journal.isUnknown) return result;
    this.failure ??= { ...result.error, isFinal: true };
    return err(this.failure);
  }

  private static async load(
    disk: Disk,
    folder: string,
    release: ReleaseLock,
    bounds: FolderBounds,
  ): Promise<OpenedStorage> {
    const cleaned = await attempt('open', folder, () => removeTemporaryFiles(disk, folder));
    const state = await readState(disk, folder);
    const snapshot = await readSnapshot(disk, folder);
    const { journal, entries, repairedBytes } = await Journal.open(disk, folder, bounds.segmentBytes);
    const remaining = await entriesAfterSnapshot(journal, entries, snapshot, folder);
    const snapshotBytes = snapshot?.data.length ?? 0;
    const storage = new LogStorage(disk, folder, journal, release, snapshotBytes, bounds);
    // A process that was ended leaves entries that were never synced; they must not be acknowledged before they are.
    const rewritten = await storage.run('sync', () => journal.rewriteTail());
    const error = [rewritten, cleaned].find((result) => result.isErr());
    const failure = error?.isErr() === true ? error.error : undefined;
    const { syncedIndex } = journal;
    return {
      storage,
      recovered: { state, snapshot, entries: remaining, syncedIndex, failure, repairedBytes },
    };
  }
}

/** Entries after the snapshot; clears a journal that ends before the snapshot does. */
async function entriesAfterSnapshot(
  journal: Journal,
  entries: readonly Entry[],
  snapshot: Snapshot | undefined,
  folder: string,
): Promise<Entry[]> {
  const next = (snapshot?.lastIndex ?? 0n) + 1n;
  const first = entries[0]?.index;
  const covered = entries.find(({ index }) => index === snapshot?.lastIndex);
  // A snapshot was installed over another log, which was not cleared before the process ended.
  if (covered !== undefined && covered.term !== snapshot?.lastTerm) {
    await journal.reset(next);
    return [];
  }
  if (first !== undefined && first > next) {
    throw new CorruptFile(folder, `entries ${next.toString()} to ${(first - 1n).toString()} are missing`);
  }
  const last = entries.at(-1)?.index ?? 0n;
  if (last < next && !journal.isEmptyAt(next)) await journal.resetOrRefuse(next);
  return entries.filter((entry) => entry.index >= next);
}

/** Entries in memory after the snapshot on the disk; none if the snapshot is newer and of another log. */
function entriesHeldAfter(held: HeldState, snapshot: Snapshot | undefined, isNewer: boolean): Entry[] {
  const covered = snapshot?.lastIndex ?? 0n;
  const last = held.entries.find(({ index }) => index === covered);
  if (isNewer && last?.term !== snapshot?.lastTerm) return [];
  return held.entries.filter(({ index }) => index > covered);
}

/** The newer of two states: a vote can be on the disk although saving it was reported as failed. */
function newerState(onDisk: PersistentState, held: PersistentState, folder: string): PersistentState {
  if (onDisk.replicaId !== held.replicaId) throw new CorruptFile(folder, 'the identity is another one');
  const isNewer = onDisk.term > held.term || (onDisk.term === held.term && held.votedFor === '');
  return isNewer ? onDisk : held;
}

/** Writes and syncs a small file: where that fails, reading the whole folder would be in vain. */
async function probeDisk(disk: Disk, folder: string): Promise<void> {
  const path = join(folder, PROBE_FILE);
  const file = await disk.open(path);
  try {
    await file.write(PROBE, 0);
    await file.sync();
  } finally {
    await file.close();
    await disk.remove(path);
  }
}

async function removeTemporaryFiles(disk: Disk, folder: string): Promise<void> {
  const temporary = (await disk.list(folder)).filter((name) => name.endsWith(TEMPORARY_SUFFIX));
  for (const name of temporary) await disk.remove(join(folder, name));
}

async function writeState(disk: Disk, folder: string, state: PersistentState): Promise<void> {
  const text = JSON.stringify({ ...state, term: state.term.toString() });
  await replaceFile(disk, join(folder, STATE_FILE), [Buffer.from(text)]);
}

/** Reads identity and vote; generates an identity for an empty folder. */
async function readState(disk: Disk, folder: string): Promise<PersistentState> {
  const names = await disk.list(folder);
  if (names.includes(STATE_FILE)) return parseState(disk, join(folder, STATE_FILE));
  if (names.some((name) => name.startsWith('journal-') || name.startsWith('snapshot-'))) {
    throw new CorruptFile(folder, `there is a log but no file "${STATE_FILE}", which holds the vote`);
  }
  const state = { replicaId: newId('replica'), clusterId: '', term: 0n, votedFor: '' };
  await writeState(disk, folder, state);
  return state;
}

async function parseState(disk: Disk, path: string): Promise<PersistentState> {
  const [record] = await readRecords(disk, path, 1);
  const parsed = persistentState.safeParse(JSON.parse(Buffer.from(record ?? []).toString()));
  if (parsed.success) return parsed.data;
  throw new CorruptFile(path, 'invalid identity, term or vote');
}
