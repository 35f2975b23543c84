/** Everything that a replica keeps in its folder: identity and vote, snapshot, journal. */
import { join } from 'node:path';
import { fault, newId } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { errAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { Entry } from '../gen/agreement/agreement_pb.js';
import type { Disk, Release } from './disk.js';
import { Journal } from './journal.js';
import { DRAFT_ENDING, readRecords, replaceFile } from './recordFile.js';
import { readSnapshot, writeSnapshot } from './snapshotFile.js';
import type { Snapshot } from './snapshotFile.js';
import { CorruptFile, attempt } from './storageFault.js';

const STATE_FILE = 'replica';

/** What a replica must never forget. */
export const persistentState = z.object({
  /** Drawn when the folder is first used. */
  replicaId: z.string().min(1),
  /** Cluster that the replica belongs to; empty before it belongs to one. */
  clusterId: z.string(),
  /** Highest term seen. */
  term: z.string().transform((text) => BigInt(text)),
  /** Replica that got the vote in that term; empty: none. */
  votedFor: z.string(),
});

/** Parsed form of `persistentState`. */
export type PersistentState = z.output<typeof persistentState>;

/** What was found at the start. */
export interface Recovered {
  readonly state: PersistentState;
  readonly snapshot: Snapshot | undefined;
  /** Entries behind the snapshot, without a gap. */
  readonly entries: Entry[];
  /** Bytes of an interrupted write that were cut off. */
  readonly repairedBytes: number;
}

/** An opened folder. */
export interface OpenedStorage {
  readonly storage: LogStorage;
  readonly recovered: Recovered;
}

/** Storage of one replica. Changes are made one at a time by the caller; `sync` may run beside them. */
export class LogStorage {
  /** Set for good by an error that leaves the disk's content unknown. */
  private failure: Fault | undefined;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly journal: Journal,
    private readonly release: Release,
  ) {}

  /** Locks and reads a folder, creating it when missing. Errors: storage-failed, naming file and reason. */
  static async open(disk: Disk, folder: string): Promise<Result<OpenedStorage, Fault>> {
    return attempt(`open ${folder}`, async () => {
      await disk.ensureFolder(folder);
      const release = await disk.lock(folder);
      try {
        return await LogStorage.load(disk, folder, release);
      } catch (error) {
        await release();
        throw error;
      }
    });
  }

  /** Replaces identity, term and vote, synced. */
  saveState(state: PersistentState): Promise<Result<void, Fault>> {
    return this.guard('save the vote', () => writeState(this.disk, this.folder, state));
  }

  /** Writes entries behind the last one, not yet synced. After an error the journal is as it was before. */
  write(entries: readonly Entry[]): Promise<Result<void, Fault>> {
    return this.guard('write the journal', () => this.journal.append(entries));
  }

  /** Drops entries from `index` on, not yet synced. An error is final. */
  async truncate(index: bigint): Promise<Result<void, Fault>> {
    return this.orFail(await this.guard('cut the journal', () => this.journal.truncate(index)));
  }

  /**
   * Syncs all that was written before the call. An error is final: the system may have dropped the pages that
   * it could not write, and a second sync would then report success for data that is gone.
   */
  async sync(): Promise<Result<void, Fault>> {
    return this.orFail(await this.guard('sync the journal', () => this.journal.sync()));
  }

  /** Keeps a snapshot and drops the journal's segments that hold only entries before `keepFrom`. */
  saveSnapshot(snapshot: Snapshot, keepFrom: bigint, nextIndex: bigint): Promise<Result<void, Fault>> {
    return this.guard('write a snapshot', async () => {
      await writeSnapshot(this.disk, this.folder, snapshot);
      await this.journal.roll(nextIndex);
      await this.journal.dropBefore(keepFrom);
    });
  }

  /** Keeps a snapshot in place of everything in the journal. An error in clearing the journal is final. */
  async installSnapshot(snapshot: Snapshot): Promise<Result<void, Fault>> {
    const written = await this.guard('install a snapshot', () =>
      writeSnapshot(this.disk, this.folder, snapshot),
    );
    if (written.isErr()) return written;
    return this.orFail(
      await this.guard('clear the journal', () => this.journal.reset(snapshot.lastIndex + 1n)),
    );
  }

  /** Closes the files and gives up the lock; nothing is written afterwards. */
  async close(): Promise<void> {
    this.failure ??= fault('storage-failed', `${this.folder} is closed`);
    await this.journal.close().catch(() => undefined);
    await this.release().catch(() => undefined);
  }

  /** After an error that leaves the disk's content unknown, nothing more is written or promised. */
  private orFail(result: Result<void, Fault>): Result<void, Fault> {
    if (result.isErr()) this.failure ??= result.error;
    return result;
  }

  private guard(doing: string, action: () => Promise<void>): Promise<Result<void, Fault>> {
    const failed = this.failure;
    const running = failed === undefined ? attempt(`${doing} in ${this.folder}`, action) : errAsync(failed);
    return Promise.resolve(running);
  }

  private static async load(disk: Disk, folder: string, release: Release): Promise<OpenedStorage> {
    await removeDrafts(disk, folder);
    const state = await readState(disk, folder);
    const snapshot = await readSnapshot(disk, folder);
    const { journal, entries, repairedBytes } = await Journal.open(disk, folder);
    const behind = await entriesBehind(journal, entries, snapshot, folder);
    const storage = new LogStorage(disk, folder, journal, release);
    return { storage, recovered: { state, snapshot, entries: behind, repairedBytes } };
  }
}

/** Entries after the snapshot; the journal is cleared when it ends before the snapshot does. */
async function entriesBehind(
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

async function removeDrafts(disk: Disk, folder: string): Promise<void> {
  const drafts = (await disk.list(folder)).filter((name) => name.endsWith(DRAFT_ENDING));
  for (const name of drafts) await disk.remove(join(folder, name));
}

async function writeState(disk: Disk, folder: string, state: PersistentState): Promise<void> {
  const text = JSON.stringify({ ...state, term: state.term.toString() });
  await replaceFile(disk, join(folder, STATE_FILE), [Buffer.from(text)]);
}

/** Reads identity and vote; draws an identity for an empty folder. */
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
  throw new CorruptFile(path, 'not the fields of a replica');
}
