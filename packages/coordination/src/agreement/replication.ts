/** Replication of the leader's log to one other replica. */
import { create } from '@bufbuild/protobuf';
import { coordinationEvents } from '../events.js';
import { AppendRequestSchema, InstallRequestSchema } from '../gen/agreement/agreement_pb.js';
import type { AppendRequest, AppendResponse } from '../gen/agreement/agreement_pb.js';
import type { Snapshot } from '../storage/index.js';
import { isVoter } from './configuration.js';
import type { Leadership } from './leadership.js';
import type { AgreementClient } from './peerClient.js';
import type { Progress } from './progress.js';

/** An append request that was sent; `at` is the monotonic time, `round` that of the progress when it was sent. */
interface SentAppend {
  readonly request: AppendRequest;
  readonly at: number;
  readonly round: number;
}

/** Factor on the timeout of entries and snapshots, which may wait for a slow disk. Heartbeats detect dead connections. */
const APPEND_TIMEOUT_FACTOR = 6;

/** Sends entries, heartbeats and snapshots to a replica until the term or its membership ends. */
export async function replicate(leadership: Leadership, progress: Progress): Promise<void> {
  const { replica, startTask } = leadership.context;
  while (leadership.isOpen && progress.isMember) {
    if (progress.next <= replica.entries.start.index) {
      await sendSnapshot(leadership, progress);
      continue;
    }
    if (isMessageDue(leadership, progress)) {
      startTask(send(leadership, progress));
      continue;
    }
    await leadership.work.waitFor(replica.clock, msUntilDue(leadership, progress));
  }
}

/** Milliseconds until the next message without entries may be due, or the pause after a failure ends. */
function msUntilDue(leadership: Leadership, progress: Progress): number {
  const { clock, tuning, committedAt } = leadership.context.replica;
  const heartbeat = progress.sentAt + tuning.heartbeatMs;
  const commitNotice = isCommitNoticePending(leadership, progress)
    ? committedAt + tuning.commitNoticeMs
    : heartbeat;
  const confirmation = leadership.isConfirmationDue(progress.sentAt)
    ? progress.sentAt + tuning.commitNoticeMs
    : heartbeat;
  const due = Math.max(Math.min(heartbeat, commitNotice, confirmation), progress.pausedUntil);
  return Math.max(1, due - clock.monotonic());
}

/** Whether the replica was not sent the current commit index, and no message is in flight. */
function isCommitNoticePending(leadership: Leadership, progress: Progress): boolean {
  return progress.inFlight === 0 && progress.sentCommitIndex < leadership.context.replica.commitIndex;
}

/** Whether a message is due: entries that fit the limits, a new commit index, a read confirmation, or a heartbeat. */
function isMessageDue(leadership: Leadership, progress: Progress): boolean {
  const { replica } = leadership.context;
  const { heartbeatMs, maxInFlight, groupCommit, commitNoticeMs } = replica.tuning;
  const now = replica.clock.monotonic();
  if (now < progress.pausedUntil) return false;
  if (now - progress.sentAt >= heartbeatMs) return true;
  if (leadership.isConfirmationDue(progress.sentAt) && now - progress.sentAt >= commitNoticeMs) return true;
  if (progress.inFlight >= (groupCommit ? maxInFlight : 1)) return false;
  if (progress.next <= replica.entries.last.index) return hasSendRoom(leadership, progress);
  return isCommitNoticePending(leadership, progress) && now >= replica.committedAt + commitNoticeMs;
}

/**
 * Whether the next entry fits the limit of bytes in flight. Messages share a connection: too many at once delay each other
 * until all of them time out together.
 */
function hasSendRoom(leadership: Leadership, progress: Progress): boolean {
  const { entries, tuning } = leadership.context.replica;
  const bytes = entries.at(progress.next)?.command.length ?? 0;
  return progress.bytesInFlight === 0 || progress.bytesInFlight + bytes <= tuning.maxBatchBytes;
}

function nextRequest(leadership: Leadership, progress: Progress): AppendRequest {
  const { replica } = leadership.context;
  const { maxBatchEntries, maxBatchBytes, maxInFlight, groupCommit } = replica.tuning;
  const isFull = progress.inFlight >= maxInFlight || !hasSendRoom(leadership, progress);
  const limit = groupCommit ? maxBatchEntries : 1;
  const entries = isFull
    ? []
    : replica.entries.slice(progress.next, limit, maxBatchBytes - progress.bytesInFlight);
  return create(AppendRequestSchema, {
    clusterId: replica.clusterId,
    leader: replica.name,
    term: leadership.term,
    previousIndex: progress.next - 1n,
    previousTerm: replica.entries.termAt(progress.next - 1n) ?? 0n,
    entries,
    commitIndex: replica.commitIndex,
    replicaId: progress.voter.replicaId,
    yields: replica.isResting,
    suspended: replica.role === 'suspended',
  });
}

/** Sends one message; does not wait for the answers to earlier ones. */
async function send(leadership: Leadership, progress: Progress): Promise<void> {
  const { replica, peers } = leadership.context;
  const request = nextRequest(leadership, progress);
  const sent = { request, at: replica.clock.monotonic(), round: progress.round };
  progress.sentAt = sent.at;
  progress.next += BigInt(request.entries.length);
  progress.sentCommitIndex = request.commitIndex;
  const bytes = request.entries.reduce((sum, { command }) => sum + command.length, 0);
  progress.inFlight += 1;
  progress.bytesInFlight += bytes;
  progress.expectedArrival =
    Math.max(progress.expectedArrival, sent.at) + bytes / replica.tuning.leastBytesPerMs;
  const timeoutFactor = request.entries.length > 0 ? APPEND_TIMEOUT_FACTOR : 1;
  const extraMs = request.entries.length > 0 ? progress.expectedArrival - sent.at : 0;
  const append = (client: AgreementClient, signal: AbortSignal) => client.append(request, { signal });
  const answer = await peers.call(progress.voter.address, append, { timeoutFactor, extraMs });
  progress.inFlight -= 1;
  progress.bytesInFlight -= bytes;
  if (answer.isOk()) await handleAnswer(leadership, progress, answer.value, sent);
  else pauseAfterFailure(leadership, progress, sent);
  leadership.work.notify();
}

/** Retries a replica that is down or refuses at the heartbeat interval, not in a tight loop. */
function pauseAfterFailure(leadership: Leadership, progress: Progress, sent: SentAppend): void {
  const { clock, tuning } = leadership.context.replica;
  progress.backtrack(progress.match, sent.round);
  progress.pausedUntil = clock.monotonic() + tuning.heartbeatMs;
}

async function handleAnswer(
  leadership: Leadership,
  progress: Progress,
  answer: AppendResponse,
  sent: SentAppend,
): Promise<void> {
  const { replica } = leadership.context;
  if (answer.replicaId !== progress.voter.replicaId) {
    /*
     * A replica with another disk now answers under this name. Counting its answers as those of the old replica would rely on
     * acknowledgements that were lost with the old disk.
     */
    if (progress.replacementId !== answer.replicaId) {
      const { name } = progress.voter;
      replica.log.event(coordinationEvents.wrongReplica, { name, found: answer.replicaId });
      progress.replacementId = answer.replicaId;
      replica.membershipSignal.notify();
    }
    pauseAfterFailure(leadership, progress, sent);
    return;
  }
  if (answer.term > leadership.term) {
    await leadership.observeTerm(answer.term);
    return;
  }
  progress.recordAnswer(sent.at);
  progress.isCaughtUp = answer.success && answer.matchIndex >= sent.request.commitIndex;
  if (answer.success) {
    recordMatch(leadership, progress, answer.matchIndex);
    return;
  }
  /*
   * A disk that drops synced bytes, or a journal that was truncated by hand, leaves a replica without entries that it
   * acknowledged. If this were treated as an outdated answer, the replica would be sent the same message for ever and stay out
   * of contact.
   */
  if (answer.matchIndex < progress.match) {
    // An answer to a message sent before the match advanced may be outdated.
    if (sent.at < progress.matchedAt) return;
    const { match, voter } = progress;
    if (!progress.recordLostEntries(answer.matchIndex, sent.round)) return;
    const range = { acknowledged: match.toString(), held: answer.matchIndex.toString() };
    replica.log.event(coordinationEvents.lostEntries, { name: voter.name, ...range });
    return;
  }
  // A heartbeat can overtake long messages; their entries are still in transit, not missing.
  const isArriving = progress.bytesInFlight > 0 && replica.clock.monotonic() < progress.expectedArrival;
  if (isArriving && sent.request.entries.length === 0) return;
  const isBehind = answer.matchIndex < sent.request.previousIndex;
  if (isBehind) progress.backtrack(answer.matchIndex, sent.round);
  else pauseAfterFailure(leadership, progress, sent);
}

/** Sends a snapshot in pieces to a replica that needs entries no longer in the log. */
async function sendSnapshot(leadership: Leadership, progress: Progress): Promise<void> {
  const { replica } = leadership.context;
  const snapshot = leadership.context.snapshot();
  for (let offset = 0; offset === 0 || offset < snapshot.data.length; offset += replica.tuning.pieceBytes) {
    if (!leadership.isOpen || !progress.isMember) return;
    const isAccepted = await sendPiece(leadership, progress, snapshot, offset);
    if (!isAccepted) {
      await leadership.work.waitFor(replica.clock, replica.tuning.heartbeatMs);
      return;
    }
  }
  recordMatch(leadership, progress, snapshot.lastIndex);
}

/** Records a match and advances the commit index; signals a learner that has caught up, as it may become a voter. */
function recordMatch(leadership: Leadership, progress: Progress, index: bigint): void {
  const { replica } = leadership.context;
  const hasAdvanced = progress.recordMatch(index, replica.clock.monotonic());
  leadership.advanceCommitIndex();
  const isLearner = !isVoter(replica.configuration, progress.voter.replicaId);
  if (hasAdvanced && isLearner && progress.match >= replica.commitIndex) replica.membershipSignal.notify();
}

async function sendPiece(
  leadership: Leadership,
  progress: Progress,
  snapshot: Snapshot,
  offset: number,
): Promise<boolean> {
  const { replica, peers } = leadership.context;
  const data = snapshot.data.subarray(offset, offset + replica.tuning.pieceBytes);
  const request = create(InstallRequestSchema, {
    lastIndex: snapshot.lastIndex,
    lastTerm: snapshot.lastTerm,
    configuration: snapshot.configuration,
    clusterId: replica.clusterId,
    leader: replica.name,
    term: leadership.term,
    offset: BigInt(offset),
    data,
    done: offset + data.length >= snapshot.data.length,
    replicaId: progress.voter.replicaId,
    suspended: replica.role === 'suspended',
  });
  const sentAt = replica.clock.monotonic();
  progress.sentAt = sentAt;
  const install = (client: AgreementClient, signal: AbortSignal) => client.install(request, { signal });
  const answer = await peers.call(progress.voter.address, install, { timeoutFactor: APPEND_TIMEOUT_FACTOR });
  if (answer.isErr()) return false;
  if (answer.value.term > leadership.term) await leadership.observeTerm(answer.value.term);
  if (!answer.value.success) return false;
  progress.recordAnswer(sentAt);
  return true;
}
