/** Shared state of one replica, and the state changes that must run one at a time. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration, Entry, Voter } from '../gen/agreement/agreement_pb.js';
import { coordinationEvents } from '../events.js';
import { folderBudget } from '../storage/index.js';
import type {
  FolderBudget,
  LogStorage,
  PersistentState,
  Recovered,
  Snapshot,
  StorageFault,
} from '../storage/index.js';
import { isVoter, membersOf, voter } from './configuration.js';
import { EntryLog } from './entryLog.js';
import type { Tuning } from './options.js';
import { Mutex, Signal } from './signal.js';
import { StorageHealth } from './storageHealth.js';

/** Role of a replica in its current term; `suspended`: its leader, while no quorum answers it. */
export type Role = 'follower' | 'candidate' | 'leader' | 'suspended';

/** Dependencies and recovered state of a replica. */
export interface ReplicaOptions {
  readonly name: string;
  readonly storage: LogStorage;
  readonly recovered: Recovered;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tuning: Tuning;
  readonly random: () => number;
}

/** State of one replica. Every change of term, vote or log runs in `exclusive`. */
export class Replica {
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tuning: Tuning;
  readonly random: () => number;
  readonly storage: LogStorage;
  readonly budget: FolderBudget;
  readonly storageHealth: StorageHealth;
  readonly entries = new EntryLog();
  /** Fires on every change of role, term, leader, commit index or configuration, and on stop. */
  readonly changed = new Signal();
  /** Fires when a membership change may be able to take its next step. */
  readonly membershipSignal = new Signal();
  address = '';
  role: Role = 'follower';
  /** Name of the leader of the current term, once known. */
  leader: string | undefined;
  commitIndex: bigint;
  /** Monotonic time of the last commit. */
  committedAt = -Infinity;
  /** Index up to which entries are synced to disk and survive a crash. */
  syncedIndex: bigint;
  /** Monotonic time at which the election timer was last reset. */
  electionTimerStart: number;
  /** Monotonic time of the last message from a leader; undefined if none since the start. */
  lastLeaderContact: number | undefined;
  /** Whether the leader of that message lets a replica with a sound disk take over. */
  isLeaderYielding = false;
  /** Monotonic time until which the replica stands after the others, as its storage failed not long ago. */
  private restingUntil = -Infinity;
  stopped = false;
  private state: PersistentState;
  private readonly mutex = new Mutex();

  constructor(options: ReplicaOptions) {
    const { recovered } = options;
    this.name = options.name;
    this.clock = options.clock;
    this.log = options.log;
    this.metrics = options.metrics;
    this.tuning = options.tuning;
    this.random = options.random;
    this.storage = options.storage;
    this.budget = folderBudget(options.tuning);
    this.storageHealth = new StorageHealth(options.clock, options.log, options.metrics);
    this.state = recovered.state;
    this.electionTimerStart = options.clock.monotonic();
    const snapshot = recovered.snapshot;
    if (snapshot !== undefined) {
      this.entries.reset({ index: snapshot.lastIndex, term: snapshot.lastTerm }, snapshot.configuration);
    }
    this.entries.append(recovered.entries);
    this.commitIndex = this.entries.start.index;
    this.syncedIndex = recovered.syncedIndex;
    if (recovered.failure !== undefined) this.storageHealth.recordFailure(recovered.failure);
  }

  get id(): string {
    return this.state.replicaId;
  }

  get term(): bigint {
    return this.state.term;
  }

  get votedFor(): string {
    return this.state.votedFor;
  }

  /**
   * Id of the cluster, or empty. A founder that crashed may have the first entry in its log, but not yet the cluster id in
   * its state file.
   */
  get clusterId(): string {
    return this.state.clusterId === '' ? (this.configuration?.clusterId ?? '') : this.state.clusterId;
  }

  /** Latest configuration in the log, in effect as soon as it is appended. */
  get configuration(): Configuration | undefined {
    return this.entries.configuration().configuration;
  }

  /** This replica as a member of a configuration. */
  get self(): Voter {
    return voter(this.name, this.address, this.id);
  }

  get isVoter(): boolean {
    return isVoter(this.configuration, this.id);
  }

  /** The other members, voters and learners. */
  get others(): Voter[] {
    return membersOf(this.configuration).filter((member) => member.replicaId !== this.id);
  }

  /** Whether the folder holds so much that new commands may not fit. */
  get isFolderFull(): boolean {
    const { journal, snapshots } = this.storage.heldBytes();
    return journal + snapshots >= this.budget.refusedBytes;
  }

  /** Runs actions one at a time, in the order of the calls. */
  exclusive<T>(action: () => Promise<T>): Promise<T> {
    return this.mutex.run(action);
  }

  /** Resets the election timer after a leader's message or a granted vote. */
  resetElectionTimer(): void {
    this.electionTimerStart = this.clock.monotonic();
  }

  /** Persists term, vote or cluster id; the change takes effect only once synced. Call within `exclusive`. */
  async saveState(change: Partial<PersistentState>): Promise<Result<void, Fault>> {
    if (this.storageHealth.failure !== undefined) return err(this.storageHealth.failure);
    const next = { ...this.state, ...change };
    const saved = await this.storage.saveState(next);
    if (saved.isErr()) {
      this.handleStorageFailure(saved.error);
      return saved;
    }
    this.state = next;
    this.changed.notify();
    return saved;
  }

  /** Adopts a higher term as a follower, and with it a vote in that term, if any. Call within `exclusive`. */
  async observeTerm(term: bigint, votedFor = ''): Promise<Result<void, Fault>> {
    if (term <= this.term) return ok();
    this.becomeFollower('higher term');
    this.leader = undefined;
    return this.saveState({ term, votedFor });
  }

  /** Steps down as leader or candidate. */
  becomeFollower(reason: string): void {
    if (this.role === 'leader') this.stopLeading(reason);
    if (this.role === 'suspended') this.resetElectionTimer();
    this.role = 'follower';
    this.changed.notify();
  }

  /** Stops leading without giving up the term, in which nobody else can lead. */
  suspendLeadership(reason: string): void {
    this.stopLeading(reason);
    this.role = 'suspended';
    this.changed.notify();
  }

  /** Leads again in the same term. */
  resumeLeadership(): void {
    this.log.event(coordinationEvents.leadingAgain, { term: this.term.toString() });
    this.role = 'leader';
    this.leader = this.name;
    this.changed.notify();
  }

  private stopLeading(reason: string): void {
    this.log.event(coordinationEvents.steppedDown, { term: this.term.toString(), reason });
    this.leader = undefined;
    this.resetElectionTimer();
  }

  /** Persists that this replica belongs to a cluster. Call within `exclusive`. */
  async adoptCluster(clusterId: string): Promise<Result<void, Fault>> {
    if (this.state.clusterId === clusterId) return ok();
    const saved = await this.saveState({ clusterId });
    if (saved.isOk()) this.log.event(coordinationEvents.joined, { cluster: clusterId, replica: this.id });
    return saved;
  }

  /** Appends entries to the log without syncing them. Call within `exclusive`. */
  async appendEntries(entries: readonly Entry[]): Promise<Result<void, Fault>> {
    if (entries.length === 0) return ok();
    if (this.storageHealth.failure !== undefined) return err(this.storageHealth.failure);
    const written = await this.storage.write(entries);
    if (written.isErr()) {
      this.handleStorageFailure(written.error);
      return written;
    }
    const previous = this.configuration;
    this.entries.append(entries);
    this.reportConfigurationChange(previous);
    return written;
  }

  /** Removes entries from `index` on that conflict with the log of a later leader. Call within `exclusive`. */
  async truncateEntries(index: bigint): Promise<Result<void, Fault>> {
    if (index <= this.commitIndex)
      return err(fault('internal', `cannot truncate at ${index.toString()}: the entry is committed`));
    if (this.storageHealth.failure !== undefined) return err(this.storageHealth.failure);
    // Entries may be gone from the disk although the truncation fails.
    if (this.syncedIndex >= index) this.syncedIndex = index - 1n;
    const truncated = await this.storage.truncate(index);
    if (truncated.isErr()) {
      this.handleStorageFailure(truncated.error);
      return truncated;
    }
    const previous = this.configuration;
    this.entries.truncate(index);
    this.reportConfigurationChange(previous);
    return truncated;
  }

  /** Syncs entries up to `index`, all of them already written, to disk. */
  async syncEntries(index: bigint): Promise<Result<void, Fault>> {
    if (index <= this.syncedIndex) return ok();
    const term = this.term;
    const synced = await this.storage.sync();
    if (synced.isErr()) {
      this.handleStorageFailure(synced.error);
      return synced;
    }
    // A leader of a later term may have truncated these entries while the sync ran.
    if (term !== this.term)
      return err(fault('not-leader', 'the term changed while entries were synced', { ran: 'may-have-run' }));
    if (index > this.syncedIndex) this.syncedIndex = index;
    return synced;
  }

  /** Advances the commit index. */
  commitTo(index: bigint): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    this.committedAt = this.clock.monotonic();
    this.changed.notify();
  }

  /**
   * Handles a storage error. A leader stays: without one, nobody could read where no other replica can be elected. It refuses
   * commands, and lets a replica with a sound disk take over.
   */
  handleStorageFailure(cause: StorageFault): void {
    this.storageHealth.recordFailure(cause);
    if (this.role === 'candidate') this.becomeFollower('storage failed');
    this.changed.notify();
  }

  /** Whether the storage fails or failed not long ago, so that a replica with a sound disk is preferred as the leader. */
  get isResting(): boolean {
    return this.storageHealth.failure !== undefined || this.clock.monotonic() < this.restingUntil;
  }

  /**
   * Tries to make the storage work again after an error. Returns a snapshot of entries that this replica doesn't hold, if one
   * was found, from which the state machine has to be restored. Call within `exclusive`.
   */
  async recoverStorage(): Promise<Result<Snapshot | undefined, StorageFault>> {
    const { state, entries, commitIndex, syncedIndex } = this;
    const held = { state, entries: entries.all(), commitIndex, syncedIndex };
    const recovered = await this.storage.recover(held);
    if (recovered.isErr()) {
      this.storageHealth.recordFailure(recovered.error);
      return err(recovered.error);
    }
    const { snapshot } = recovered.value;
    if (recovered.value.state.term !== this.term) this.becomeFollower('higher term on the disk');
    this.state = recovered.value.state;
    if (snapshot !== undefined) {
      entries.reset({ index: snapshot.lastIndex, term: snapshot.lastTerm }, snapshot.configuration);
      entries.append(recovered.value.entries);
      this.commitTo(snapshot.lastIndex);
    }
    if (recovered.value.syncedIndex > this.syncedIndex) this.syncedIndex = recovered.value.syncedIndex;
    this.storageHealth.recordSuccess();
    this.restingUntil = this.clock.monotonic() + this.tuning.storageRestMs;
    this.changed.notify();
    return ok(snapshot);
  }

  stop(): void {
    this.stopped = true;
    this.becomeFollower('closing');
    this.changed.notify();
  }

  private reportConfigurationChange(previous: Configuration | undefined): void {
    const current = this.configuration;
    if (current === previous || current === undefined) return;
    const names = (members: readonly Voter[]): string[] => members.map(({ name }) => name);
    this.log.event(coordinationEvents.configuration, {
      voters: names(current.voters),
      learners: names(current.learners),
    });
    this.changed.notify();
  }
}
