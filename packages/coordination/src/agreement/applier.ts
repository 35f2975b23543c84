/** Applies committed entries to the state machine, and takes snapshots. */
import { coordinationEvents } from '../events.js';
import { EntryKind } from '../gen/agreement/agreement_pb.js';
import type { Configuration, Entry } from '../gen/agreement/agreement_pb.js';
import { coordinationMetrics } from '../metrics.js';
import type { Snapshot } from '../storage/index.js';
import type { Waiters } from './proposal.js';
import type { Replica } from './replica.js';
import { Signal } from './signal.js';
import type { StateMachine } from './stateMachine.js';

const NO_RESULT = new Uint8Array();

/** Entries that are applied at most before the event loop turns. */
const TURN_ENTRIES = 256;

/**
 * The same in time, as part of the time between heartbeats: after a restart the whole log is applied at once, and heartbeats
 * must be read and sent meanwhile. Many short turns would make it late on a busy machine, where each brings other work.
 */
const TURN_PART = 0.5;

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Hears of each applied index. */
export type AppliedListener = (index: bigint) => void;

/** Drives one state machine. */
export class Applier {
  lastApplied = 0n;
  readonly listeners = new Set<AppliedListener>();
  private readonly appliedSome = new Signal();
  private configuration: Configuration | undefined;
  private entriesSince = 0;
  private bytesSince = 0;

  constructor(
    private readonly replica: Replica,
    private readonly machine: StateMachine,
    private readonly waiters: Waiters,
  ) {}

  /** Takes over the state of a snapshot. */
  restore(snapshot: Snapshot): void {
    this.machine.restore(snapshot.data);
    this.lastApplied = snapshot.lastIndex;
    this.configuration = snapshot.configuration;
    this.entriesSince = 0;
    this.bytesSince = 0;
    this.waiters.skippedTo(snapshot.lastIndex);
    this.tell(snapshot.lastIndex);
  }

  /** Applies entries as they are committed, until the replica stops. */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped) {
      if (this.lastApplied >= replica.commitIndex) await replica.changed.wait();
      else await this.applyAll();
    }
  }

  /** Answers a query once all up to `index` is applied; undefined when that takes longer, or there are no queries. */
  async query(command: Uint8Array, index: bigint, timeoutMs: number): Promise<Uint8Array | undefined> {
    const { clock, tuning } = this.replica;
    const endsAt = clock.monotonic() + timeoutMs;
    while (this.lastApplied < index) {
      if (this.replica.stopped || clock.monotonic() >= endsAt) return undefined;
      await this.appliedSome.waitFor(clock, tuning.heartbeatMs);
    }
    return this.machine.query?.(command);
  }

  /** The state up to the last applied entry. */
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
    await this.applySome();
    if (this.lastApplied >= replica.commitIndex) return;
    while (!replica.stopped && this.lastApplied < replica.commitIndex) {
      await nextTurn();
      await this.applySome();
    }
    // Contact with the leader counts only once all that was missed is applied.
    replica.changed.notify();
  }

  private async applySome(): Promise<void> {
    const { replica } = this;
    const endsAt = replica.clock.monotonic() + replica.tuning.heartbeatMs * TURN_PART;
    for (let applied = 0; applied < TURN_ENTRIES && this.lastApplied < replica.commitIndex; applied += 1) {
      const entry = replica.entries.at(this.lastApplied + 1n);
      if (entry === undefined) return replica.changed.wait();
      this.apply(entry);
      if (replica.clock.monotonic() >= endsAt) break;
    }
    replica.metrics.gauge(coordinationMetrics.commitIndex, Number(this.lastApplied));
    this.appliedSome.notify();
    if (this.isSnapshotDue()) await this.takeSnapshot();
  }

  private apply(entry: Entry): void {
    const isCommand = entry.kind === EntryKind.COMMAND;
    const result = isCommand ? this.machine.apply(entry.index, entry.command) : NO_RESULT;
    if (entry.kind === EntryKind.CONFIGURATION) this.configuration = entry.configuration;
    this.lastApplied = entry.index;
    this.entriesSince += 1;
    this.bytesSince += entry.command.length;
    this.waiters.applied(entry.index, entry.term, result);
    this.tell(entry.index);
  }

  private tell(index: bigint): void {
    for (const listener of this.listeners) listener(index);
  }

  private isSnapshotDue(): boolean {
    const { snapshotEntries, snapshotBytes } = this.replica.tuning;
    return this.entriesSince >= snapshotEntries || this.bytesSince >= snapshotBytes;
  }

  /** Keeps the state and drops old entries, but for some that lagging replicas may still ask for. */
  private async takeSnapshot(): Promise<void> {
    const { replica } = this;
    this.entriesSince = 0;
    this.bytesSince = 0;
    await replica.exclusive(async () => {
      const snapshot = this.snapshot();
      const { retainedEntries, retainedBytes } = replica.tuning;
      const keepFrom = replica.entries.firstWithin(snapshot.lastIndex, retainedEntries, retainedBytes);
      const saved = await replica.storage.saveSnapshot(snapshot, keepFrom, replica.entries.last.index + 1n);
      if (saved.isErr()) {
        replica.failed(saved.error);
        return;
      }
      replica.entries.compact(keepFrom - 1n);
      replica.metrics.count(coordinationMetrics.snapshots);
      replica.log.event(coordinationEvents.snapshotTaken, { index: snapshot.lastIndex.toString() });
    });
  }
}
