/** One term of a leader: appending and committing commands, and checking contact with a quorum. */
import { create } from '@bufbuild/protobuf';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { coordinationEvents } from '../events.js';
import { EntryKind, EntrySchema } from '../gen/agreement/agreement_pb.js';
import type { Configuration, Entry, Voter } from '../gen/agreement/agreement_pb.js';
import { isQuorum, quorumOf } from './configuration.js';
import type { PeerClient } from './peerClient.js';
import { Progress } from './progress.js';
import { notWritten } from './proposal.js';
import type { Outcome, Proposal, Waiters } from './proposal.js';
import type { Replica } from './replica.js';
import { replicate } from './replication.js';
import { Signal } from './signal.js';
import { VoterMonitor } from './voterMonitor.js';
import type { Snapshot } from '../storage/index.js';

const NO_COMMAND = new Uint8Array();

/** Dependencies of a leadership. */
export interface LeadershipContext {
  readonly replica: Replica;
  readonly peers: PeerClient;
  readonly waiters: Waiters;
  /** Snapshot of the applied state, for replicas that need entries no longer in the log. */
  readonly snapshot: () => Snapshot;
  /** Called when a higher term of one voter deposed this leader although a quorum had just answered it. */
  readonly onDeposed: () => void;
  /** Runs a background task; an error in it stops the replica. */
  readonly startTask: (task: Promise<void>) => void;
}

/** The term of this replica as leader. */
export class Leadership {
  /** Fires when there may be something to send, and on each answer. */
  readonly work = new Signal();
  readonly progress = new Map<string, Progress>();
  private pending: Proposal[] = [];
  private pendingBytes = 0;
  private readonly proposalArrived = new Signal();
  private readonly voterMonitor = new VoterMonitor(this);
  private readonly startedAt: number;
  /** Monotonic time of the last `readIndex` request that needs a round of heartbeats. */
  private lastReadRequestAt = -Infinity;
  /** Index of this term's first entry; 0 until it is appended. */
  private termStartIndex = 0n;

  constructor(
    readonly context: LeadershipContext,
    readonly term: bigint,
  ) {
    this.startedAt = context.replica.clock.monotonic();
  }

  /** Whether this replica leads in this term, and is not suspended. */
  get isActive(): boolean {
    return this.isOpen && this.context.replica.role === 'leader';
  }

  /** Whether this replica is still the only one that can lead in this term, suspended or not. */
  get isOpen(): boolean {
    const { replica } = this.context;
    const isLeader = replica.role === 'leader' || replica.role === 'suspended';
    return isLeader && replica.term === this.term && !replica.stopped;
  }

  /** Whether an entry of this term is committed; only then is the commit index known to be current. */
  get hasCommittedInTerm(): boolean {
    return this.coversTermStart(this.context.replica.commitIndex);
  }

  /** Whether `index` covers this term's first entry, and with it all entries that earlier terms committed. */
  coversTermStart(index: bigint): boolean {
    return this.termStartIndex > 0n && index >= this.termStartIndex;
  }

  /** Runs until this replica is no longer the leader of this term. */
  async run(): Promise<void> {
    const { replica } = this.context;
    const appended = await this.append([{ kind: EntryKind.NOOP }]);
    if (appended.isErr()) {
      // Without an entry of its term it could answer no query.
      if (this.isActive) replica.becomeFollower('storage failed');
      return;
    }
    this.termStartIndex = appended.value;
    replica.log.event(coordinationEvents.leading, {
      term: this.term.toString(),
      firstIndex: this.termStartIndex.toString(),
    });
    await Promise.all([this.appendProposals(), this.checkQuorum(), this.replicateToMembers()]);
    this.refusePending();
  }

  /** Queues a command; it settles when the command is applied on this replica. */
  propose(proposal: Proposal): void {
    const { failure } = this.context.replica.storageHealth;
    if (!this.isActive || failure !== undefined || this.isFull()) {
      const refused = failure === undefined ? overloaded() : err(failure);
      proposal.settle(this.isActive ? refused : notWritten('no longer the leader'));
      return;
    }
    this.pending.push(proposal);
    this.pendingBytes += proposal.command.length;
    this.proposalArrived.notify();
  }

  /**
   * Whether too many commands are uncommitted. Without a limit, retried commands could keep the quorum from ever catching
   * up.
   */
  private isFull(): boolean {
    const { tuning, budget, entries, commitIndex, isFolderFull } = this.context.replica;
    if (isFolderFull || this.pending.length >= tuning.maxPending) return true;
    return this.pendingBytes + entries.bytesAfter(commitIndex) >= budget.uncommittedBytes;
  }

  /** Appends a configuration to the log; it takes effect as soon as it is appended. */
  async changeConfiguration(configuration: Configuration): Promise<Result<bigint, Fault>> {
    return this.append([{ kind: EntryKind.CONFIGURATION, configuration }]);
  }

  /** Whether a quorum answered messages sent within the last `windowMs` milliseconds. */
  hasQuorum(windowMs: number): boolean {
    const { replica } = this.context;
    const { configuration } = replica;
    return (
      configuration !== undefined && isQuorum(configuration, (voter) => this.isReachable(voter, windowMs))
    );
  }

  /**
   * Read index: confirms by a round of heartbeats that this replica is still the leader. @returns the commit index at the
   * time of the request; undefined when the term ended or no quorum answered in time.
   */
  async readIndex(timeoutMs: number): Promise<bigint | undefined> {
    const { clock, tuning } = this.context.replica;
    const startedAt = clock.monotonic();
    const deadline = startedAt + timeoutMs;
    while (this.isActive && !this.hasCommittedInTerm && clock.monotonic() < deadline) {
      await this.context.replica.changed.waitFor(clock, tuning.heartbeatMs);
    }
    const requestedAt = clock.monotonic();
    const index = this.context.replica.commitIndex;
    this.lastReadRequestAt = requestedAt;
    this.work.notify();
    while (this.isActive && this.hasCommittedInTerm && clock.monotonic() < deadline) {
      if (this.hasQuorumSince(requestedAt)) return index;
      await this.work.waitFor(clock, tuning.heartbeatMs);
    }
    return undefined;
  }

  /** Whether a pending `readIndex` needs a message newer than one sent at `sentAt`. */
  isConfirmationDue(sentAt: number): boolean {
    return sentAt < this.lastReadRequestAt;
  }

  /** Whether a quorum answered messages sent at `since` or later. */
  private hasQuorumSince(since: number): boolean {
    const { configuration, id } = this.context.replica;
    const hasAnswered = ({ replicaId }: Voter): boolean =>
      replicaId === id || (this.progress.get(replicaId)?.lastAnsweredSentAt ?? -Infinity) >= since;
    return configuration !== undefined && isQuorum(configuration, hasAnswered);
  }

  /** Whether a replica answered a message sent within the last `windowMs` milliseconds. */
  isReachable(voter: Pick<Voter, 'replicaId'>, windowMs: number): boolean {
    const { replica } = this.context;
    if (voter.replicaId === replica.id) return true;
    const answeredAt = this.progress.get(voter.replicaId)?.lastAnsweredSentAt ?? -Infinity;
    return replica.clock.monotonic() - answeredAt < windowMs;
  }

  /** Whether a replica has not answered for so long that it counts as lost. */
  isSilent(replicaId: string): boolean {
    const { replica } = this.context;
    const heardAt = this.progress.get(replicaId)?.lastContactAt;
    if (heardAt === undefined) return false;
    return replica.clock.monotonic() - heardAt >= replica.tuning.silentMs;
  }

  /** Advances the commit index to the highest entry that a quorum has synced. */
  advanceCommitIndex(): void {
    const { replica } = this.context;
    const { configuration } = replica;
    if (!this.isActive || configuration === undefined) return;
    const syncedIndexes = configuration.voters.map((voter) => this.syncedIndexOf(voter)).sort(descending);
    const index = syncedIndexes[quorumOf(configuration.voters.length) - 1] ?? 0n;
    /*
     * An entry of an earlier term can be on a quorum and still be overwritten: a candidate without it may win with an entry
     * of a later term. It is committed only through a later entry of the current term (Raft, section 5.4.2).
     */
    if (index <= replica.commitIndex || replica.entries.termAt(index) !== this.term) return;
    replica.commitTo(index);
    this.work.notify();
    this.stepDownIfRemoved(configuration);
  }

  /** Steps down because a replica answered with a higher term. */
  async observeTerm(term: bigint): Promise<void> {
    const { replica, onDeposed } = this.context;
    const wasDeposed = await replica.exclusive(async () => {
      if (term <= replica.term) return false;
      const hadQuorum = this.hasCommittedInTerm && this.hasQuorum(replica.tuning.electionMinMs);
      const wasActive = this.isActive;
      const observed = await replica.observeTerm(term);
      return wasActive && hadQuorum && observed.isOk();
    });
    if (wasDeposed) onDeposed();
  }

  private syncedIndexOf(voter: Voter): bigint {
    const { replica } = this.context;
    if (voter.replicaId === replica.id) return replica.syncedIndex;
    return this.progress.get(voter.replicaId)?.match ?? 0n;
  }

  private stepDownIfRemoved(configuration: Configuration): void {
    const { replica } = this.context;
    const isCommitted = replica.entries.configuration().index <= replica.commitIndex;
    const isMember = configuration.voters.some((voter) => voter.replicaId === replica.id);
    if (isCommitted && !isMember) replica.becomeFollower('no longer a voter');
  }

  /** Appends queued commands: all that are queued in one write, with the sync in parallel to replication. */
  private async appendProposals(): Promise<void> {
    const { clock, tuning } = this.context.replica;
    while (this.isOpen) {
      if (this.pending.length === 0) {
        await this.proposalArrived.waitFor(clock, tuning.heartbeatMs);
        continue;
      }
      const batch = this.pending.splice(0, tuning.groupCommit ? tuning.maxBatchEntries : 1);
      for (const { command } of batch) this.pendingBytes -= command.length;
      await this.appendBatch(batch);
    }
  }

  private async appendBatch(batch: readonly Proposal[]): Promise<void> {
    const { waiters } = this.context;
    const entries = batch.map(({ command }) => ({ kind: EntryKind.COMMAND, command }));
    const appended = await this.append(entries, (index, position) => {
      const proposal = batch[position];
      if (proposal !== undefined) waiters.add(index, this.term, proposal.settle);
    });
    if (appended.isOk()) return;
    const mayBeOnDisk = appended.error.ran !== 'not-run';
    for (const { settle } of batch) {
      if (mayBeOnDisk) waiters.addUnwritten(settle);
      else settle(err(appended.error));
    }
  }

  /**
   * Appends entries to the log and starts their sync. A failed write means that no entry was sent to any replica, so the
   * commands have not run, unless a part of the write stays on the disk.
   */
  private async append(
    drafts: readonly Partial<Pick<Entry, 'kind' | 'command' | 'configuration'>>[],
    onAppended: (index: bigint, position: number) => void = () => undefined,
  ): Promise<Result<bigint, Fault>> {
    const { replica } = this.context;
    const written = await replica.exclusive(async (): Promise<Result<bigint, Fault>> => {
      if (!this.isActive) return err(notLeader());
      const first = replica.entries.last.index + 1n;
      const entries = drafts.map((draft, position) =>
        create(EntrySchema, {
          command: NO_COMMAND,
          ...draft,
          term: this.term,
          index: first + BigInt(position),
        }),
      );
      const result = await replica.appendEntries(entries);
      if (result.isErr()) return err(result.error);
      for (const [position, entry] of entries.entries()) onAppended(entry.index, position);
      return ok(replica.entries.last.index);
    });
    if (written.isErr()) return written;
    this.work.notify();
    const synced = this.sync(written.value);
    this.context.startTask(synced);
    if (!replica.tuning.groupCommit) await synced;
    return written;
  }

  private async sync(index: bigint): Promise<void> {
    const synced = await this.context.replica.syncEntries(index);
    if (synced.isOk()) this.advanceCommitIndex();
  }

  /**
   * Suspends the leadership while no quorum has answered within the window. An isolated leader would otherwise keep accepting
   * commands that can't be committed, and vouch for outdated state. It keeps its term: when the others only stood still, it
   * goes on without an election. Where they don't need it, they elect another leader, as a suspended one yields.
   */
  private async checkQuorum(): Promise<void> {
    const { replica } = this.context;
    const { clock } = replica;
    const { quorumWindowMs, heartbeatMs } = replica.tuning;
    // Answers that arrive while this process is stalled are read only afterwards, so the stall extends the window.
    let stallMs = 0;
    while (this.isOpen) {
      const age = clock.monotonic() - this.startedAt;
      const isLost = age > quorumWindowMs && !this.hasQuorum(quorumWindowMs + stallMs);
      if (isLost === this.isActive) this.changeSuspension(isLost);
      if (this.isActive) this.voterMonitor.check();
      // Entries that a recovery of the storage has synced, or that were answered while suspended.
      this.advanceCommitIndex();
      const checkedAt = clock.monotonic();
      await (this.isActive ? replica.changed : this.work).waitFor(clock, heartbeatMs);
      const elapsedMs = clock.monotonic() - checkedAt;
      stallMs = Math.min(quorumWindowMs, Math.max(elapsedMs - heartbeatMs, stallMs - elapsedMs, 0));
    }
  }

  private changeSuspension(isLost: boolean): void {
    const { replica } = this.context;
    if (isLost) replica.suspendLeadership('no answers of a quorum');
    else replica.resumeLeadership();
    if (isLost) this.refusePending();
    this.work.notify();
  }

  private refusePending(): void {
    this.pendingBytes = 0;
    for (const proposal of this.pending.splice(0)) proposal.settle(notWritten('no longer the leader'));
  }

  /** Runs one replication task for each other member of the configuration. */
  private async replicateToMembers(): Promise<void> {
    const { replica } = this.context;
    while (this.isOpen) {
      const members = replica.others;
      const ids = new Set(members.map(({ replicaId }) => replicaId));
      for (const member of members) this.startReplication(member);
      for (const [id, progress] of this.progress) if (!ids.has(id)) this.stopReplication(id, progress);
      await replica.changed.wait();
    }
    for (const [id, progress] of this.progress) this.stopReplication(id, progress);
  }

  private startReplication(member: Voter): void {
    const existing = this.progress.get(member.replicaId);
    if (existing !== undefined) {
      existing.voter = member;
      return;
    }
    const { replica } = this.context;
    const progress = new Progress(member, replica.entries.last.index, replica.clock.monotonic());
    this.progress.set(member.replicaId, progress);
    this.context.startTask(replicate(this, progress));
  }

  private stopReplication(id: string, progress: Progress): void {
    progress.isMember = false;
    this.progress.delete(id);
    this.work.notify();
  }
}

const notLeader = (): Fault => fault('not-leader', 'no longer the leader', { ran: 'not-run' });

const overloaded = (): Outcome => err(fault('overloaded', 'too many commands wait for a quorum'));

const descending = (a: bigint, b: bigint): number => (a < b ? 1 : a > b ? -1 : 0);
