/** One leader's term: taking commands, committing, keeping contact with a quorum. */
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
import { VoterWatch } from './voterWatch.js';
import type { Snapshot } from '../storage/index.js';

const NO_COMMAND = new Uint8Array();

/** What a term's tasks are made with. */
export interface LeadershipParts {
  readonly replica: Replica;
  readonly peers: PeerClient;
  readonly waiters: Waiters;
  /** The applied state, for replicas that lag too far. */
  readonly snapshot: () => Snapshot;
  /** Called when one voter's higher term ended this one although a quorum had just answered. */
  readonly unseated: () => void;
  /** Starts a task of its own; an error of it stops the replica. */
  readonly start: (task: Promise<void>) => void;
}

/** A term in which this replica leads. */
export class Leadership {
  /** Fires when there is something to send. */
  readonly work = new Signal();
  readonly progress = new Map<string, Progress>();
  private pending: Proposal[] = [];
  private pendingBytes = 0;
  private readonly arrived = new Signal();
  private readonly voterWatch = new VoterWatch(this);
  private readonly begunAt: number;
  /** When a message was last wanted that confirms the lead, by the clock. */
  private confirmAskedAt = -Infinity;
  /** Index of the term's first entry; 0 until it is written. */
  private firstIndex = 0n;

  constructor(
    readonly parts: LeadershipParts,
    readonly term: bigint,
  ) {
    this.begunAt = parts.replica.clock.monotonic();
  }

  /** Whether this replica still leads in this term. */
  get isActive(): boolean {
    const { replica } = this.parts;
    return replica.role === 'leader' && replica.term === this.term && !replica.stopped;
  }

  /** Whether an entry of this term is committed: only then is the commit index known to be current. */
  get isEstablished(): boolean {
    return this.hasBegun(this.parts.replica.commitIndex);
  }

  /** Whether the entries up to `index` include the first one of this term, and so all that earlier terms committed. */
  hasBegun(index: bigint): boolean {
    return this.firstIndex > 0n && index >= this.firstIndex;
  }

  /** Leads until the replica is no longer leader of this term. */
  async run(): Promise<void> {
    const { replica } = this.parts;
    const begun = await this.append([{ kind: EntryKind.NOOP }]);
    if (begun.isErr()) return;
    this.firstIndex = begun.value;
    replica.log.event(coordinationEvents.leading, { term: this.term.toString() });
    await Promise.all([this.takeCommands(), this.keepQuorum(), this.keepMembers()]);
    for (const proposal of this.pending.splice(0)) proposal.settle(notWritten('no longer the leader'));
  }

  /** Queues a command; the outcome comes when it is applied here. */
  propose(proposal: Proposal): void {
    if (!this.isActive || this.isFull()) {
      proposal.settle(this.isActive ? tooMany() : notWritten('no longer the leader'));
      return;
    }
    this.pending.push(proposal);
    this.pendingBytes += proposal.command.length;
    this.arrived.notify();
  }

  /** Whether more waits for a quorum than may: what a proposer sends again and again would keep it from ever catching up. */
  private isFull(): boolean {
    const { tuning, entries, commitIndex } = this.parts.replica;
    if (this.pending.length >= tuning.maxPending) return true;
    return this.pendingBytes + entries.bytesAfter(commitIndex) >= tuning.maxUncommittedBytes;
  }

  /** Puts a configuration into the log; in force here as soon as it is written. */
  async changeConfiguration(configuration: Configuration): Promise<Result<bigint, Fault>> {
    return this.append([{ kind: EntryKind.CONFIGURATION, configuration }]);
  }

  /** Whether a quorum answered messages sent within the last `windowMs` milliseconds. */
  hasQuorum(windowMs: number): boolean {
    const { replica } = this.parts;
    const { configuration } = replica;
    return (
      configuration !== undefined && isQuorum(configuration, (voter) => this.isReachable(voter, windowMs))
    );
  }

  /**
   * Confirms that this replica still led after the call. @returns the index of the last entry that was committed at the call;
   * undefined when the term ended, or no quorum answered in time.
   */
  async confirm(timeoutMs: number): Promise<bigint | undefined> {
    const { clock, tuning } = this.parts.replica;
    const begunAt = clock.monotonic();
    const endsAt = begunAt + timeoutMs;
    while (this.isActive && !this.isEstablished && clock.monotonic() < endsAt) {
      await this.parts.replica.changed.waitFor(clock, tuning.heartbeatMs);
    }
    const askedAt = clock.monotonic();
    const index = this.parts.replica.commitIndex;
    this.confirmAskedAt = askedAt;
    this.work.notify();
    while (this.isActive && this.isEstablished && clock.monotonic() < endsAt) {
      if (this.hasAnswersSince(askedAt)) return index;
      await this.work.waitFor(clock, tuning.heartbeatMs);
    }
    return undefined;
  }

  /** Whether a message is wanted that is newer than one sent at `sentAt`. */
  wantsMessage(sentAt: number): boolean {
    return sentAt < this.confirmAskedAt;
  }

  /** Whether a quorum answered messages that were sent after `askedAt`. */
  private hasAnswersSince(askedAt: number): boolean {
    const { configuration, id } = this.parts.replica;
    const isAnswered = ({ replicaId }: Voter): boolean =>
      replicaId === id || (this.progress.get(replicaId)?.answeredAt ?? -Infinity) >= askedAt;
    return configuration !== undefined && isQuorum(configuration, isAnswered);
  }

  /** Whether a replica answered a message sent within the last `windowMs` milliseconds. */
  isReachable(voter: Pick<Voter, 'replicaId'>, windowMs: number): boolean {
    const { replica } = this.parts;
    if (voter.replicaId === replica.id) return true;
    const answeredAt = this.progress.get(voter.replicaId)?.answeredAt ?? -Infinity;
    return replica.clock.monotonic() - answeredAt < windowMs;
  }

  /** Whether a replica has given no answer for so long that it counts as lost. */
  isSilent(replicaId: string): boolean {
    const { replica } = this.parts;
    const heardAt = this.progress.get(replicaId)?.heardAt;
    if (heardAt === undefined) return false;
    return replica.clock.monotonic() - heardAt >= replica.tuning.silentMs;
  }

  /** Commits what a quorum has synced. */
  advance(): void {
    const { replica } = this.parts;
    const { configuration } = replica;
    if (!this.isActive || configuration === undefined) return;
    const synced = configuration.voters.map((voter) => this.syncedAt(voter)).sort(descending);
    const index = synced[quorumOf(configuration.voters.length) - 1] ?? 0n;
    /*
     * An entry of an earlier term can be on a quorum and still be replaced: a candidate that never had it may
     * win with a newer entry. It is safe only once an entry of the own term lies above it.
     */
    if (index <= replica.commitIndex || replica.entries.termAt(index) !== this.term) return;
    replica.commitTo(index);
    this.work.notify();
    this.leaveIfRemoved(configuration);
  }

  /** A replica that answered with a higher term ends this one. */
  async observeTerm(term: bigint): Promise<void> {
    const { replica, unseated } = this.parts;
    const wasBacked = await replica.exclusive(async () => {
      if (term <= replica.term) return false;
      const hadQuorum = this.isEstablished && this.hasQuorum(replica.tuning.electionMinMs);
      const isLeading = this.isActive;
      const moved = await replica.observeTerm(term);
      return isLeading && hadQuorum && moved.isOk();
    });
    if (wasBacked) unseated();
  }

  private syncedAt(voter: Voter): bigint {
    const { replica } = this.parts;
    if (voter.replicaId === replica.id) return replica.syncedIndex;
    return this.progress.get(voter.replicaId)?.match ?? 0n;
  }

  private leaveIfRemoved(configuration: Configuration): void {
    const { replica } = this.parts;
    const isCommitted = replica.entries.configuration().index <= replica.commitIndex;
    const isMember = configuration.voters.some((voter) => voter.replicaId === replica.id);
    if (isCommitted && !isMember) replica.becomeFollower('no longer a voter');
  }

  /** Writes commands as they come: all at hand in one write, the sync running beside the messages. */
  private async takeCommands(): Promise<void> {
    const { clock, tuning } = this.parts.replica;
    while (this.isActive) {
      if (this.pending.length === 0) {
        await this.arrived.waitFor(clock, tuning.heartbeatMs);
        continue;
      }
      const batch = this.pending.splice(0, tuning.groupCommit ? tuning.maxBatchEntries : 1);
      for (const { command } of batch) this.pendingBytes -= command.length;
      await this.write(batch);
    }
  }

  private async write(batch: readonly Proposal[]): Promise<void> {
    const { waiters } = this.parts;
    const entries = batch.map(({ command }) => ({ kind: EntryKind.COMMAND, command }));
    const last = await this.append(entries, (index, position) => {
      const proposal = batch[position];
      if (proposal !== undefined) waiters.add(index, this.term, proposal.settle);
    });
    if (last.isOk()) return;
    const outcome: Outcome = err({ ...last.error, ran: 'not-run' });
    for (const proposal of batch) proposal.settle(outcome);
  }

  /**
   * Writes entries at the end of the log and starts their sync. Nothing has left the process when the write
   * fails, so that the commands surely did not run.
   */
  private async append(
    drafts: readonly Partial<Pick<Entry, 'kind' | 'command' | 'configuration'>>[],
    placed: (index: bigint, position: number) => void = () => undefined,
  ): Promise<Result<bigint, Fault>> {
    const { replica } = this.parts;
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
      for (const [position, entry] of entries.entries()) placed(entry.index, position);
      return ok(replica.entries.last.index);
    });
    if (written.isErr()) return written;
    this.work.notify();
    const synced = this.sync(written.value);
    this.parts.start(synced);
    if (!replica.tuning.groupCommit) await synced;
    return written;
  }

  private async sync(index: bigint): Promise<void> {
    const synced = await this.parts.replica.syncEntries(index);
    if (synced.isOk()) this.advance();
  }

  /**
   * Steps down without answers of a quorum. A leader that is cut off would otherwise go on for ever: it learns
   * of no newer term, keeps accepting commands that can't be committed, and vouches for old state.
   */
  private async keepQuorum(): Promise<void> {
    const { replica } = this.parts;
    const { clock } = replica;
    const { quorumWindowMs, heartbeatMs } = replica.tuning;
    // Answers that came during a stall are read only after it, so its length is added to the window.
    let lateMs = 0;
    while (this.isActive) {
      const age = clock.monotonic() - this.begunAt;
      if (age > quorumWindowMs && !this.hasQuorum(quorumWindowMs + lateMs)) {
        replica.becomeFollower('no answers of a quorum');
        return;
      }
      this.voterWatch.look();
      const lookedAt = clock.monotonic();
      await replica.changed.waitFor(clock, heartbeatMs);
      const passedMs = clock.monotonic() - lookedAt;
      lateMs = Math.min(quorumWindowMs, Math.max(passedMs - heartbeatMs, lateMs - passedMs, 0));
    }
  }

  /** Runs one task for each other member, as the configuration has them. */
  private async keepMembers(): Promise<void> {
    const { replica } = this.parts;
    while (this.isActive) {
      const members = replica.others;
      const ids = new Set(members.map(({ replicaId }) => replicaId));
      for (const member of members) this.admit(member);
      for (const [id, progress] of this.progress) if (!ids.has(id)) this.dismiss(id, progress);
      await replica.changed.wait();
    }
    for (const [id, progress] of this.progress) this.dismiss(id, progress);
  }

  private admit(member: Voter): void {
    const known = this.progress.get(member.replicaId);
    if (known !== undefined) {
      known.voter = member;
      return;
    }
    const { replica } = this.parts;
    const progress = new Progress(member, replica.entries.last.index, replica.clock.monotonic());
    this.progress.set(member.replicaId, progress);
    this.parts.start(replicate(this, progress));
  }

  private dismiss(id: string, progress: Progress): void {
    progress.isMember = false;
    this.progress.delete(id);
    this.work.notify();
  }
}

const notLeader = (): Fault => fault('not-leader', 'no longer the leader', { ran: 'not-run' });

const tooMany = (): Outcome => err(fault('overloaded', 'too many commands wait'));

const descending = (a: bigint, b: bigint): number => (a < b ? 1 : a > b ? -1 : 0);
