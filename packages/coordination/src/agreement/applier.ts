/** Applies committed entries to the state machine, and takes snapshots. */
import { coordinationEvents } from '../events.js';
import { EntryKind } from '../gen/agreement/agreement_pb.js';
import type { Configuration, Entry } from '../gen/agreement/agreement_pb.js';
import { coordinationMetrics } from '../metrics.js';
import type { Snapshot, StorageFault } from '../storage/index.js';
import type { Waiters } from './proposal.js';
import type { Replica } from './replica.js';
import { Signal } from './signal.js';
import type { StateMachine } from './stateMachine.js';

const NO_RESULT = new Uint8Array();

/** Entries applied in one turn of the event loop at most. */
const MAX_ENTRIES_PER_TURN = 256;

/**
 * Longest turn, as a share of the heartbeat interval. After a restart the whole log is applied, and heartbeats must be read
 * and sent meanwhile. Much shorter turns would delay the replay on a busy machine, where other work runs between them.
 */
const MAX_TURN_SHARE = 0.5;

/** Pause after a snapshot that could not be saved, milliseconds; it doubles with each further one. */
const FIRST_PAUSE_MS = 500;

/** Longest pause after a snapshot that could not be saved, milliseconds. */
const LONGEST_PAUSE_MS = 8_000;

const yieldToEventLoop = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Called with each applied index. */
export type AppliedListener = (index: bigint) => void;

/** Applies the log to one state machine. */
export class Applier {
  lastApplied = 0n;
  readonly listeners = new Set<AppliedListener>();
  private readonly progressed = new Signal();
  private configuration: Configuration | undefined;
  private entriesSinceSnapshot = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private isPaused = false;

  constructor(
    private readonly replica: Replica,
    private readonly machine: StateMachine,
    private readonly waiters: Waiters,
  ) {}

  /** Restores the state of a snapshot. */
  restore(snapshot: Snapshot): void {
    this.machine.restore(snapshot.data);
    this.lastApplied = snapshot.lastIndex;
    this.configuration = snapshot.configuration;
    this.entriesSinceSnapshot = 0;
    this.waiters.skippedTo(snapshot.lastIndex);
    this.notifyListeners(snapshot.lastIndex);
  }

  /** Applies entries as they are committed, until the replica stops. */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped) {
      if (this.isSnapshotDue()) await this.takeSnapshot();
      else if (this.lastApplied >= replica.commitIndex) await replica.changed.wait();
      else await this.applyAll();
    }
  }

  /** Answers a query once all entries up to `index` are applied; undefined on timeout, or when queries are not supported. */
  async query(command: Uint8Array, index: () => bigint, timeoutMs: number): Promise<Uint8Array | undefined> {
    const { clock, tuning } = this.replica;
    const deadline = clock.monotonic() + timeoutMs;
    while (this.lastApplied < index()) {
      if (this.replica.stopped || clock.monotonic() >= deadline) return undefined;
      await this.progressed.waitFor(clock, tuning.heartbeatMs);
    }
    return this.machine.query?.(command);
  }

  /** Snapshot of the state up to the last applied entry. */
  snapshot(): Snapshot {
    const { replica, lastApplied: lastIndex } = this;
    return {
      clusterId: replica.clusterId,
      lastIndex,
      lastTerm: replica.entries.termAt(lastIndex) ?? 0n,
      configuration: this.configuration,
      data: this.machine.snapshot(),
    };
  }

  private async applyAll(): Promise<void> {
    const { replica } = this;
    await this.applyBatch();
    if (this.lastApplied >= replica.commitIndex) return;
    while (!replica.stopped && this.lastApplied < replica.commitIndex) {
      await yieldToEventLoop();
      await this.applyBatch();
    }
    // Wakes `Contact`: a replica vouches for its state only once all missed entries are applied.
    replica.changed.notify();
  }

  private async applyBatch(): Promise<void> {
    const { replica } = this;
    const deadline = replica.clock.monotonic() + replica.tuning.heartbeatMs * MAX_TURN_SHARE;
    for (
      let applied = 0;
      applied < MAX_ENTRIES_PER_TURN && this.lastApplied < replica.commitIndex;
      applied += 1
    ) {
      const entry = replica.entries.at(this.lastApplied + 1n);
      if (entry === undefined) return replica.changed.wait();
      this.apply(entry);
      if (replica.clock.monotonic() >= deadline) break;
    }
    replica.metrics.gauge(coordinationMetrics.commitIndex, Number(this.lastApplied));
    this.progressed.notify();
    if (this.isSnapshotDue()) await this.takeSnapshot();
  }

  private apply(entry: Entry): void {
    const isCommand = entry.kind === EntryKind.COMMAND;
    const result = isCommand ? this.machine.apply(entry.index, entry.command) : NO_RESULT;
    if (entry.kind === EntryKind.CONFIGURATION) this.configuration = entry.configuration;
    this.lastApplied = entry.index;
    this.entriesSinceSnapshot += 1;
    this.waiters.applied(entry.index, entry.term, result);
    this.notifyListeners(entry.index);
  }

  private notifyListeners(index: bigint): void {
    for (const listener of this.listeners) listener(index);
  }

  private isSnapshotDue(): boolean {
    if (this.isPaused) return false;
    const { tuning, budget, storage } = this.replica;
    if (this.entriesSinceSnapshot >= tuning.snapshotEntries) return true;
    const due = budget.snapshotDueBytes(storage.heldBytes().snapshots);
    return storage.coveredBytes(this.lastApplied) >= due;
  }

  /** Saves a snapshot and drops old entries, except some that lagging replicas may still need. */
  private async takeSnapshot(): Promise<void> {
    const { replica } = this;
    await replica.exclusive(async () => {
      const snapshot = this.snapshot();
      const { retainedEntries, retainedBytes } = replica.tuning;
      const keepFrom = replica.entries.firstWithin(snapshot.lastIndex, retainedEntries, retainedBytes);
      // The retained entries are sent from memory. A restart reads none that a snapshot covers.
      const keptOnDisk = snapshot.lastIndex + 1n;
      const saved = await replica.storage.saveSnapshot(snapshot, keptOnDisk, replica.entries.last.index + 1n);
      if (saved.isErr()) {
        this.pauseSnapshots(saved.error);
        return;
      }
      this.entriesSinceSnapshot = 0;
      this.pauseMs = FIRST_PAUSE_MS;
      replica.entries.compact(keepFrom - 1n);
      replica.metrics.count(coordinationMetrics.snapshots);
      replica.log.event(coordinationEvents.snapshotTaken, { index: snapshot.lastIndex.toString() });
    });
  }

  /**
   * Tries again soon: until a snapshot is saved, nothing frees the journal's space. The replica goes on meanwhile, as its
   * entries and its vote need no snapshot.
   */
  private pauseSnapshots(cause: StorageFault): void {
    const { replica, pauseMs } = this;
    replica.log.event(coordinationEvents.snapshotFailed, { reason: cause.message, pauseMs });
    replica.metrics.count(coordinationMetrics.snapshotFailures);
    if (cause.isFinal) replica.handleStorageFailure(cause);
    this.isPaused = true;
    this.pauseMs = Math.min(2 * pauseMs, LONGEST_PAUSE_MS);
    replica.clock.after(pauseMs, () => {
      this.isPaused = false;
      replica.changed.notify();
    });
  }
}
