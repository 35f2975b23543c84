/** Receiving side of replication: handles entries and snapshots from the leader. */
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

/** Fields common to append and install requests. */
type LeaderMessage = Pick<AppendRequest, 'clusterId' | 'leader' | 'term' | 'replicaId' | 'suspended'> &
  Partial<Pick<AppendRequest, 'yields'>>;

/** A snapshot of which some pieces have been received. */
interface PartialSnapshot {
  readonly lastIndex: bigint;
  readonly term: bigint;
  readonly pieces: Uint8Array[];
  bytes: number;
}

/** Result of an append before its sync. */
interface AppendResult {
  readonly success: boolean;
  /** On success, the index up to which the log matches the leader's; otherwise the index after which it tries next. */
  readonly index: bigint;
}

const min = (a: bigint, b: bigint): bigint => (a < b ? a : b);

/** Handles the messages of a leader for one replica. */
export class Follower {
  /** Highest commit index received from a leader. */
  leaderCommitIndex = 0n;
  private partialSnapshot: PartialSnapshot | undefined;

  constructor(
    private readonly replica: Replica,
    private readonly restore: (snapshot: Snapshot) => void,
  ) {}

  /**
   * Appends entries; acknowledges only synced ones. A heartbeat does not wait for a sync, so that a slow disk does not look
   * like a dead connection.
   */
  async append(request: AppendRequest): Promise<AppendResponse> {
    const { replica } = this;
    const result = await replica.exclusive(() => this.appendVerified(request));
    if (!result.success) return this.answer(false, result.index);
    if (request.entries.length === 0) return this.answer(true, min(result.index, replica.syncedIndex));
    const synced = await replica.syncEntries(result.index);
    // A leader of a later term may have replaced these entries while the sync ran.
    const isCurrent = synced.isOk() && replica.term === request.term;
    return this.answer(isCurrent, isCurrent ? result.index : replica.commitIndex);
  }

  /** Receives one piece of a snapshot; the last piece installs it. */
  async install(request: InstallRequest): Promise<InstallResponse> {
    const { replica } = this;
    const success = await replica.exclusive(async () => {
      if (!(await this.acceptLeader(request))) return false;
      return this.addPiece(request);
    });
    return create(InstallResponseSchema, { term: replica.term, success });
  }

  private answer(success: boolean, matchIndex: bigint): AppendResponse {
    const { term, id: replicaId } = this.replica;
    return create(AppendResponseSchema, { term, success, matchIndex, replicaId });
  }

  /**
   * Whether the message is from a current leader of this cluster and addressed to this replica. If so, adopts its term and
   * cluster, and resets the election timer.
   */
  private async acceptLeader(message: LeaderMessage): Promise<boolean> {
    const { replica } = this;
    const isOtherCluster = replica.clusterId !== '' && message.clusterId !== replica.clusterId;
    if (isOtherCluster || message.replicaId !== replica.id) return false;
    if (message.term < replica.term) return false;
    const joined = await replica.adoptCluster(message.clusterId);
    const observed = await replica.observeTerm(message.term);
    if (joined.isErr() || observed.isErr()) {
      // Commands and queries are forwarded, although this replica can't save the leader's term.
      replica.leader = message.leader;
      return false;
    }
    if (replica.role === 'candidate') replica.becomeFollower('a leader was elected');
    if (replica.leader !== message.leader) {
      replica.leader = message.leader;
      replica.log.event(coordinationEvents.newLeader, {
        leader: message.leader,
        term: message.term.toString(),
      });
      replica.changed.notify();
    }
    // Others may have elected another leader since: neither current nor a reason not to stand.
    if (message.suspended) return true;
    replica.isLeaderYielding = message.yields === true;
    // The election timeout of a replica with a sound disk elapses, so that it takes over.
    if (!replica.isLeaderYielding || replica.isResting) replica.resetElectionTimer();
    replica.lastLeaderContact = replica.clock.monotonic();
    return true;
  }

  private async appendVerified(request: AppendRequest): Promise<AppendResult> {
    const { replica } = this;
    const { entries } = replica;
    if (!(await this.acceptLeader(request))) return { success: false, index: entries.last.index };
    if (request.commitIndex > this.leaderCommitIndex) this.leaderCommitIndex = request.commitIndex;
    const { previousIndex } = request;
    const isBeforeLogStart = previousIndex < entries.start.index;
    if (!isBeforeLogStart && entries.termAt(previousIndex) !== request.previousTerm) {
      return { success: false, index: this.conflictIndex(previousIndex) };
    }
    const end = previousIndex + BigInt(request.entries.length);
    const written = await this.appendMissing(request.entries);
    if (written.isErr()) {
      const held = min(previousIndex, replica.syncedIndex);
      return { success: false, index: held > replica.commitIndex ? held : replica.commitIndex };
    }
    // Entries covered by a snapshot are committed, so the leader has them too.
    const index = end > entries.start.index ? end : entries.start.index;
    replica.commitTo(min(request.commitIndex, index));
    return { success: true, index };
  }

  /** Index after which the leader tries next: skips all entries of the conflicting term, instead of one per message. */
  private conflictIndex(previousIndex: bigint): bigint {
    const { entries, commitIndex } = this.replica;
    if (previousIndex > entries.last.index) return entries.last.index;
    const before = entries.startOfTerm(previousIndex) - 1n;
    return before > commitIndex ? before : commitIndex;
  }

  private async appendMissing(received: readonly Entry[]): Promise<Result<void, Fault>> {
    const { replica } = this;
    const { entries } = replica;
    const isHeld = ({ index, term }: Entry): boolean =>
      index <= entries.start.index || entries.termAt(index) === term;
    const position = received.findIndex((entry) => !isHeld(entry));
    const missing = position < 0 ? [] : received.slice(position);
    const [firstMissing] = missing;
    if (firstMissing !== undefined && firstMissing.index <= entries.last.index) {
      const truncated = await replica.truncateEntries(firstMissing.index);
      if (truncated.isErr()) return truncated;
    }
    return replica.appendEntries(missing);
  }

  private async addPiece(request: InstallRequest): Promise<boolean> {
    if (request.lastIndex <= this.replica.commitIndex) return true;
    const { term, lastIndex } = request;
    if (request.offset === 0n) this.partialSnapshot = { term, lastIndex, pieces: [], bytes: 0 };
    const { partialSnapshot } = this;
    if (partialSnapshot?.lastIndex !== lastIndex || partialSnapshot.term !== term) return false;
    if (BigInt(partialSnapshot.bytes) !== request.offset) return false;
    partialSnapshot.pieces.push(request.data);
    partialSnapshot.bytes += request.data.length;
    if (!request.done) return true;
    this.partialSnapshot = undefined;
    return this.installSnapshot({ ...request, data: Buffer.concat(partialSnapshot.pieces) });
  }

  private async installSnapshot(snapshot: Snapshot): Promise<boolean> {
    const { replica } = this;
    const saved = await replica.storage.installSnapshot(snapshot);
    if (saved.isErr()) {
      replica.handleStorageFailure(saved.error);
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
