/** The durable state of a replica: identity and vote, snapshot, journal. */
import { join } from 'node:path';
import { fault, newId } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, errAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { Entry } from '../gen/agreement/agreement_pb.js';
import type { Disk, ReleaseLock } from './disk.js';
import type { FolderBudget } from './folderBudget.js';
import { Journal } from './journal.js';
import { TEMPORARY_SUFFIX, readRecords, replaceFile } from './recordFile.js';
import { readSnapshot, writeSnapshot } from './snapshotFile.js';
import type { Snapshot } from './snapshotFile.js';
import { CorruptFile, attempt } from './storageFault.js';

const STATE_FILE = 'replica';

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
  /** Bytes of an interrupted write that were removed. */
  readonly repairedBytes: number;
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
  private failure: Fault | undefined;
  private largestBytes = 0;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly journal: Journal,
    private readonly release: ReleaseLock,
    private snapshotBytes: number,
    private readonly mostBytes: number,
  ) {}

  /** Whether an error was final: nothing is written any more. */
  get hasFailed(): boolean {
    return this.failure !== undefined;
  }

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
  ): Promise<Result<OpenedStorage, Fault>> {
    return attempt(`open ${folder}`, async () => {
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
  saveState(state: PersistentState): Promise<Result<void, Fault>> {
    return this.run('save the vote', () => writeState(this.disk, this.folder, state));
  }

  /** Bytes of the journal that a snapshot up to `index` frees. */
  coveredBytes(index: bigint): number {
    return this.journal.coveredBytes(index);
  }

  /**
   * Appends entries without a sync of them. After an error the journal is unchanged. What exceeds the folder's bound is
   * refused, unless it is small: the disk must keep space for the vote.
   */
  async write(entries: readonly Entry[]): Promise<Result<void, Fault>> {
    const bytes = entries.reduce((sum, { command }) => sum + command.length, 0);
    const isBeyond = this.journal.bytes + this.snapshotBytes + bytes > this.mostBytes;
    if (isBeyond && bytes > SMALL_WRITE_BYTES)
      return err(fault('storage-failed', `${this.folder} holds as much as it may`));
    return this.run('write the journal', () => this.journal.append(entries));
  }

  /** Drops the entries from `index` on. An error is final. */
  async truncate(index: bigint): Promise<Result<void, Fault>> {
    return this.failForGood(await this.run('truncate the journal', () => this.journal.truncate(index)));
  }

  /**
   * Syncs everything written before the call. An error is final: the system may have dropped the pages that it could
   * not write, and a second sync would then report success for lost data.
   */
  async sync(): Promise<Result<void, Fault>> {
    return this.failForGood(await this.run('sync the journal', () => this.journal.sync()));
  }

  /**
   * Stores a snapshot and drops the journal's segments that hold only entries before `keepFrom`. An error of the snapshot is
   * not final, a failed sync of the journal is.
   */
  async saveSnapshot(snapshot: Snapshot, keepFrom: bigint, nextIndex: bigint): Promise<Result<void, Fault>> {
    const saved = await this.run('write a snapshot', async () => {
      await this.replaceSnapshot(snapshot);
      await this.journal.roll(nextIndex);
      await this.journal.dropBefore(keepFrom);
    });
    return this.journal.hasFailedSync ? this.failForGood(saved) : saved;
  }

  /** Replaces the whole journal by a snapshot. An error while clearing the journal is final. */
  async installSnapshot(snapshot: Snapshot): Promise<Result<void, Fault>> {
    const written = await this.run('install a snapshot', () => this.replaceSnapshot(snapshot));
    if (written.isErr()) return written;
    return this.failForGood(
      await this.run('clear the journal', () => this.journal.reset(snapshot.lastIndex + 1n)),
    );
  }

  /** Closes the files and releases the lock; later writes fail. */
  async close(): Promise<void> {
    this.failure ??= fault('storage-failed', `${this.folder} is closed`);
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

  /** Makes an error final: the disk's content is unknown, so nothing more is written or acknowledged. */
  private failForGood(result: Result<void, Fault>): Result<void, Fault> {
    if (result.isErr()) this.failure ??= result.error;
    return result;
  }

  private run(operation: string, action: () => Promise<void>): Promise<Result<void, Fault>> {
    const failed = this.failure;
    const result =
      failed === undefined ? attempt(`${operation} in ${this.folder}`, action) : errAsync(failed);
    return Promise.resolve(result);
  }

  private static async load(
    disk: Disk,
    folder: string,
    release: ReleaseLock,
    { segmentBytes, mostBytes }: FolderBounds,
  ): Promise<OpenedStorage> {
    await removeTemporaryFiles(disk, folder);
    const state = await readState(disk, folder);
    const snapshot = await readSnapshot(disk, folder);
    const { journal, entries, repairedBytes } = await Journal.open(disk, folder, segmentBytes);
    const remaining = await entriesAfterSnapshot(journal, entries, snapshot, folder);
    const snapshotBytes = snapshot?.data.length ?? 0;
    const storage = new LogStorage(disk, folder, journal, release, snapshotBytes, mostBytes);
    return { storage, recovered: { state, snapshot, entries: remaining, repairedBytes } };
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
  if (first !== undefined && first > next) {
    throw new CorruptFile(folder, `entries ${next.toString()} to ${(first - 1n).toString()} are missing`);
  }
  const last = entries.at(-1)?.index ?? 0n;
  if (last < next) await journal.reset(next);
  return entries.filter((entry) => entry.index >= next);
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
