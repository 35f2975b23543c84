/** The receiving side of replication: entries and snapshots from the leader. */
import { create } from '@bufbuild/protobuf';
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import { coordinationEvents } from '../events.js';
import { AppendResponseSchema, InstallResponseSchema } from '../gen/agreement/agreement_pb.js';
import type {
  AppendRequest,
  AppendResponse,
  Entry,
  InstallRequest,
  InstallResponse,
} from '../gen/agreement/agreement_pb.js';
import type { Snapshot } from '../storage/index.js';
import type { Replica } from './replica.js';

/** What both messages of a leader carry. */
type LeaderMessage = Pick<AppendRequest, 'clusterId' | 'leader' | 'term' | 'replicaId'>;

/** A snapshot that is being received. */
interface Receipt {
  readonly lastIndex: bigint;
  readonly term: bigint;
  readonly pieces: Uint8Array[];
  bytes: number;
}

/** Outcome of the written part of an append: up to where the log is the leader's, or where to try next. */
interface Match {
  readonly success: boolean;
  readonly index: bigint;
}

const least = (a: bigint, b: bigint): bigint => (a < b ? a : b);

/** One replica's part as a follower. */
export class Follower {
  /** Highest commit index that a leader told of. */
  leaderCommit = 0n;
  private receipt: Receipt | undefined;

  constructor(
    private readonly replica: Replica,
    private readonly restore: (snapshot: Snapshot) => void,
  ) {}

  /**
   * Takes entries; answers success only for what is synced. A heartbeat does not wait for a sync: a slow disk
   * must not look like a dead connection.
   */
  async append(request: AppendRequest): Promise<AppendResponse> {
    const { replica } = this;
    const match = await replica.exclusive(() => this.take(request));
    if (!match.success) return this.answer(false, match.index);
    if (request.entries.length === 0) return this.answer(true, least(match.index, replica.syncedIndex));
    const synced = await replica.syncEntries(match.index);
    // While the sync ran, a leader of a later term may have replaced these entries.
    const isCurrent = synced.isOk() && replica.term === request.term;
    return this.answer(isCurrent, isCurrent ? match.index : replica.commitIndex);
  }

  /** Takes one piece of a snapshot; the last one puts it in place. */
  async install(request: InstallRequest): Promise<InstallResponse> {
    const { replica } = this;
    const success = await replica.exclusive(async () => {
      if (!(await this.accepts(request))) return false;
      return this.takePiece(request);
    });
    return create(InstallResponseSchema, { term: replica.term, success });
  }

  private answer(success: boolean, matchIndex: bigint): AppendResponse {
    const { term, id: replicaId } = this.replica;
    return create(AppendResponseSchema, { term, success, matchIndex, replicaId });
  }

  /** Whether the message is of a current leader of this cluster, and meant for this replica. */
  private async accepts(message: LeaderMessage): Promise<boolean> {
    const { replica } = this;
    const isForeign = replica.clusterId !== '' && message.clusterId !== replica.clusterId;
    if (isForeign || message.replicaId !== replica.id) return false;
    if (message.term < replica.term) return false;
    const joined = await replica.adoptCluster(message.clusterId);
    const moved = await replica.observeTerm(message.term);
    if (joined.isErr() || moved.isErr()) return false;
    if (replica.role === 'candidate') replica.becomeFollower('a leader was elected');
    if (replica.leader !== message.leader) {
      replica.leader = message.leader;
      replica.log.event(coordinationEvents.newLeader, {
        leader: message.leader,
        term: message.term.toString(),
      });
      replica.changed.notify();
    }
    replica.rest();
    replica.leaderHeardAt = replica.clock.monotonic();
    return true;
  }

  private async take(request: AppendRequest): Promise<Match> {
    const { replica } = this;
    const { entries } = replica;
    if (!(await this.accepts(request))) return { success: false, index: entries.last.index };
    if (request.commitIndex > this.leaderCommit) this.leaderCommit = request.commitIndex;
    const { previousIndex } = request;
    const isBehindBase = previousIndex < entries.start.index;
    if (!isBehindBase && entries.termAt(previousIndex) !== request.previousTerm) {
      return { success: false, index: this.backUp(previousIndex) };
    }
    const end = previousIndex + BigInt(request.entries.length);
    const written = await this.write(request.entries);
    if (written.isErr()) return { success: false, index: replica.commitIndex };
    // What a snapshot covers is committed, so the leader has it too.
    const index = end > entries.start.index ? end : entries.start.index;
    replica.commitTo(least(request.commitIndex, index));
    return { success: true, index };
  }

  /** Where the leader tries next: before the whole run of the conflicting term, not one entry at a time. */
  private backUp(previousIndex: bigint): bigint {
    const { entries, commitIndex } = this.replica;
    if (previousIndex > entries.last.index) return entries.last.index;
    const before = entries.startOfTerm(previousIndex) - 1n;
    return before > commitIndex ? before : commitIndex;
  }

  private async write(received: readonly Entry[]): Promise<Result<void, Fault>> {
    const { replica } = this;
    const { entries } = replica;
    const isHeld = ({ index, term }: Entry): boolean =>
      index <= entries.start.index || entries.termAt(index) === term;
    const position = received.findIndex((entry) => !isHeld(entry));
    const fresh = position < 0 ? [] : received.slice(position);
    const [head] = fresh;
    if (head !== undefined && head.index <= entries.last.index) {
      const cut = await replica.truncateEntries(head.index);
      if (cut.isErr()) return cut;
    }
    return replica.appendEntries(fresh);
  }

  private async takePiece(request: InstallRequest): Promise<boolean> {
    if (request.lastIndex <= this.replica.commitIndex) return true;
    const { term, lastIndex } = request;
    if (request.offset === 0n) this.receipt = { term, lastIndex, pieces: [], bytes: 0 };
    const { receipt } = this;
    if (receipt?.lastIndex !== lastIndex || receipt.term !== term) return false;
    if (BigInt(receipt.bytes) !== request.offset) return false;
    receipt.pieces.push(request.data);
    receipt.bytes += request.data.length;
    if (!request.done) return true;
    this.receipt = undefined;
    return this.putInPlace({ ...request, data: Buffer.concat(receipt.pieces) });
  }

  private async putInPlace(snapshot: Snapshot): Promise<boolean> {
    const { replica } = this;
    const saved = await replica.storage.installSnapshot(snapshot);
    if (saved.isErr()) {
      replica.failed(saved.error);
      return false;
    }
    const base = { index: snapshot.lastIndex, term: snapshot.lastTerm };
    replica.entries.reset(base, snapshot.configuration);
    replica.syncedIndex = base.index;
    this.restore(snapshot);
    replica.commitTo(base.index);
    replica.log.event(coordinationEvents.snapshotInstalled, { index: base.index.toString() });
    return true;
  }
}
