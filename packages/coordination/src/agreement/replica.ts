/** State that the tasks of one replica share, and the changes to it that must not interleave. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration, Entry, Voter } from '../gen/agreement/agreement_pb.js';
import { coordinationEvents } from '../events.js';
import type { LogStorage, PersistentState, Recovered } from '../storage/index.js';
import { isVoter, membersOf, voter } from './configuration.js';
import { EntryLog } from './entryLog.js';
import type { Tuning } from './options.js';
import { Mutex, Signal } from './signal.js';

/** What a replica is doing in its term. */
export type Role = 'follower' | 'candidate' | 'leader';

/** What a replica is made with. */
export interface ReplicaParts {
  readonly name: string;
  readonly storage: LogStorage;
  readonly recovered: Recovered;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tuning: Tuning;
  readonly random: () => number;
}

/** One replica. Everything that changes term, vote or log runs in `exclusive`. */
export class Replica {
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tuning: Tuning;
  readonly random: () => number;
  readonly storage: LogStorage;
  readonly entries = new EntryLog();
  /** Fires on every change of role, term, leader, commit index or configuration, and on stop. */
  readonly changed = new Signal();
  /** Fires when a step of a change of replicas may have become due. */
  readonly memberNews = new Signal();
  address = '';
  role: Role = 'follower';
  /** Name of the leader of the current term, once known. */
  leader: string | undefined;
  commitIndex: bigint;
  /** Monotonic time of the last commit. */
  committedAt = -Infinity;
  /** Entries up to here survive a crash of this replica. */
  syncedIndex: bigint;
  /** Monotonic time before which no election begins here. */
  quietSince: number;
  /** Monotonic time of the last message of a leader; undefined: none since the start. */
  leaderHeardAt: number | undefined;
  /** Monotonic time until which the replica does not stand for election. */
  abstainUntil = 0;
  stopped = false;
  private state: PersistentState;
  private readonly mutex = new Mutex();

  constructor(parts: ReplicaParts) {
    const { recovered } = parts;
    this.name = parts.name;
    this.clock = parts.clock;
    this.log = parts.log;
    this.metrics = parts.metrics;
    this.tuning = parts.tuning;
    this.random = parts.random;
    this.storage = parts.storage;
    this.state = recovered.state;
    this.quietSince = parts.clock.monotonic();
    const base = recovered.snapshot;
    if (base !== undefined) {
      this.entries.reset({ index: base.lastIndex, term: base.lastTerm }, base.configuration);
    }
    this.entries.append(recovered.entries);
    this.commitIndex = this.entries.start.index;
    this.syncedIndex = this.entries.last.index;
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

  /** Cluster that the replica belongs to, or empty. The founder's first entry can outlive the state file. */
  get clusterId(): string {
    return this.state.clusterId === '' ? (this.configuration?.clusterId ?? '') : this.state.clusterId;
  }

  /** The newest configuration in the log, in force as soon as it is written. */
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

  /** Runs changes one after the other. */
  exclusive<T>(action: () => Promise<T>): Promise<T> {
    return this.mutex.run(action);
  }

  /** Notes a sign of life of a leader or a vote given: no election for now. */
  rest(): void {
    this.quietSince = this.clock.monotonic();
  }

  /** Writes term and vote; they count only once synced. Exclusive. */
  async save(change: Partial<PersistentState>): Promise<Result<void, Fault>> {
    const next = { ...this.state, ...change };
    const saved = await this.storage.saveState(next);
    if (saved.isErr()) {
      this.failed(saved.error);
      return saved;
    }
    this.state = next;
    this.changed.notify();
    return saved;
  }

  /** Moves on to a higher term as a follower. Exclusive. */
  async observeTerm(term: bigint): Promise<Result<void, Fault>> {
    if (term <= this.term) return ok();
    this.becomeFollower('higher term');
    this.leader = undefined;
    return this.save({ term, votedFor: '' });
  }

  /** Stops leading or standing for election. */
  becomeFollower(reason: string): void {
    if (this.role === 'leader') {
      this.log.event(coordinationEvents.steppedDown, { term: this.term.toString(), reason });
      this.leader = undefined;
      this.rest();
    }
    this.role = 'follower';
    this.changed.notify();
  }

  /** Belongs to a cluster from now on. Exclusive. */
  async adoptCluster(clusterId: string): Promise<Result<void, Fault>> {
    if (this.state.clusterId === clusterId) return ok();
    const saved = await this.save({ clusterId });
    if (saved.isOk()) this.log.event(coordinationEvents.joined, { cluster: clusterId, replica: this.id });
    return saved;
  }

  /** Writes entries behind the last one, not yet synced. Exclusive. */
  async appendEntries(entries: readonly Entry[]): Promise<Result<void, Fault>> {
    const written = await this.storage.write(entries);
    if (written.isErr()) {
      this.failed(written.error);
      return written;
    }
    const before = this.configuration;
    this.entries.append(entries);
    this.noteConfiguration(before);
    return written;
  }

  /** Drops entries that a leader of a later term does not have. Exclusive. */
  async truncateEntries(index: bigint): Promise<Result<void, Fault>> {
    if (index <= this.commitIndex) return err(fault('internal', `entry ${index.toString()} is committed`));
    const cut = await this.storage.truncate(index);
    if (cut.isErr()) {
      this.failed(cut.error);
      return cut;
    }
    const before = this.configuration;
    this.entries.truncate(index);
    if (this.syncedIndex >= index) this.syncedIndex = index - 1n;
    this.noteConfiguration(before);
    return cut;
  }

  /** Makes entries up to `index`, all written before, survive a crash. */
  async syncEntries(index: bigint): Promise<Result<void, Fault>> {
    if (index <= this.syncedIndex) return ok();
    const term = this.term;
    const synced = await this.storage.sync();
    if (synced.isErr()) {
      this.failed(synced.error);
      return synced;
    }
    // In a later term the entries may have been cut off again while the sync ran.
    if (term !== this.term) return err(fault('not-leader', 'the term changed', { ran: 'may-have-run' }));
    if (index > this.syncedIndex) this.syncedIndex = index;
    return synced;
  }

  /** Entries up to `index` are committed. */
  commitTo(index: bigint): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    this.committedAt = this.clock.monotonic();
    this.changed.notify();
  }

  /**
   * A replica that can't write must not lead: every command would wait for others, or fail. It steps down and
   * leaves the election to replicas whose disks work.
   */
  failed(cause: Fault): void {
    this.log.event(coordinationEvents.storageFailed, { reason: cause.message });
    this.abstainUntil = this.clock.monotonic() + this.tuning.storageRestMs;
    this.becomeFollower('storage failed');
  }

  stop(): void {
    this.stopped = true;
    this.becomeFollower('closing');
    this.changed.notify();
  }

  private noteConfiguration(before: Configuration | undefined): void {
    const now = this.configuration;
    if (now === before || now === undefined) return;
    const names = (members: readonly Voter[]): string[] => members.map(({ name }) => name);
    this.log.event(coordinationEvents.configuration, {
      voters: names(now.voters),
      learners: names(now.learners),
    });
    this.changed.notify();
  }
}
