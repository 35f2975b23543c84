/** The task that keeps one replica's log equal to the leader's. */
import { create } from '@bufbuild/protobuf';
import { coordinationEvents } from '../events.js';
import { AppendRequestSchema, InstallRequestSchema } from '../gen/agreement/agreement_pb.js';
import type { AppendRequest, AppendResponse } from '../gen/agreement/agreement_pb.js';
import type { Snapshot } from '../storage/index.js';
import { isVoter } from './configuration.js';
import type { Leadership } from './leadership.js';
import type { AgreementClient } from './peerClient.js';
import type { Progress } from './progress.js';

/** A message on its way. */
interface Sent {
  readonly request: AppendRequest;
  readonly at: number;
  readonly round: number;
}

/** Entries and snapshots may wait for a slow disk; whether the connection lives is told by the heartbeats. */
const APPEND_WAITS = 6;

/** Sends entries, heartbeats and snapshots until the term or the membership ends. */
export async function replicate(leadership: Leadership, progress: Progress): Promise<void> {
  const { replica, start } = leadership.parts;
  while (leadership.isActive && progress.isMember) {
    if (progress.next <= replica.entries.start.index) {
      await install(leadership, progress);
      continue;
    }
    if (isDue(leadership, progress)) {
      start(send(leadership, progress));
      continue;
    }
    await leadership.work.waitFor(replica.clock, untilDue(leadership, progress));
  }
}

/** Milliseconds until the next heartbeat, or the end of the pause after a failure. */
function untilDue(leadership: Leadership, progress: Progress): number {
  const { clock, tuning, committedAt } = leadership.parts.replica;
  const heartbeat = progress.sentAt + tuning.heartbeatMs;
  const notice = isNoticeOpen(leadership, progress) ? committedAt + tuning.commitNoticeMs : heartbeat;
  const confirmation = leadership.wantsMessage(progress.sentAt)
    ? progress.sentAt + tuning.commitNoticeMs
    : heartbeat;
  const due = Math.max(Math.min(heartbeat, notice, confirmation), progress.pausedUntil);
  return Math.max(1, due - clock.monotonic());
}

/** Whether the replica has not been told of the last commit, and no message is on its way. */
function isNoticeOpen(leadership: Leadership, progress: Progress): boolean {
  return progress.inFlight === 0 && progress.toldCommit < leadership.parts.replica.commitIndex;
}

/** Whether a message is due: entries to send and room for them, a commit to tell of, or a heartbeat. */
function isDue(leadership: Leadership, progress: Progress): boolean {
  const { replica } = leadership.parts;
  const { heartbeatMs, maxInFlight, groupCommit, commitNoticeMs } = replica.tuning;
  const now = replica.clock.monotonic();
  if (now < progress.pausedUntil) return false;
  if (now - progress.sentAt >= heartbeatMs) return true;
  if (leadership.wantsMessage(progress.sentAt) && now - progress.sentAt >= commitNoticeMs) return true;
  if (progress.inFlight >= (groupCommit ? maxInFlight : 1)) return false;
  if (progress.next <= replica.entries.last.index) return hasRoom(leadership, progress);
  return isNoticeOpen(leadership, progress) && now >= replica.committedAt + commitNoticeMs;
}

/**
 * Whether the next entry may be sent beside those that are under way. Messages share a connection: with too many of them each
 * is late, and all are given up together.
 */
function hasRoom(leadership: Leadership, progress: Progress): boolean {
  const { entries, tuning } = leadership.parts.replica;
  const bytes = entries.at(progress.next)?.command.length ?? 0;
  return progress.bytesInFlight === 0 || progress.bytesInFlight + bytes <= tuning.maxBatchBytes;
}

function nextRequest(leadership: Leadership, progress: Progress): AppendRequest {
  const { replica } = leadership.parts;
  const { maxBatchEntries, maxBatchBytes, maxInFlight, groupCommit } = replica.tuning;
  const isFull = progress.inFlight >= maxInFlight || !hasRoom(leadership, progress);
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
  });
}

/** Sends one message without waiting for the answers to earlier ones. */
async function send(leadership: Leadership, progress: Progress): Promise<void> {
  const { replica, peers } = leadership.parts;
  const request = nextRequest(leadership, progress);
  const sent = { request, at: replica.clock.monotonic(), round: progress.round };
  progress.sentAt = sent.at;
  progress.next += BigInt(request.entries.length);
  progress.toldCommit = request.commitIndex;
  const bytes = request.entries.reduce((sum, { command }) => sum + command.length, 0);
  progress.inFlight += 1;
  progress.bytesInFlight += bytes;
  progress.arrivingUntil = Math.max(progress.arrivingUntil, sent.at) + bytes / replica.tuning.leastBytesPerMs;
  const waits = request.entries.length > 0 ? APPEND_WAITS : 1;
  const moreMs = request.entries.length > 0 ? progress.arrivingUntil - sent.at : 0;
  const append = (client: AgreementClient, signal: AbortSignal) => client.append(request, { signal });
  const answer = await peers.call(progress.voter.address, append, { waits, moreMs });
  progress.inFlight -= 1;
  progress.bytesInFlight -= bytes;
  if (answer.isOk()) await take(leadership, progress, answer.value, sent);
  else retryLater(leadership, progress, sent);
  leadership.work.notify();
}

/** A replica that is down or refuses is tried again at the pace of heartbeats, not in a tight loop. */
function retryLater(leadership: Leadership, progress: Progress, sent: Sent): void {
  const { clock, tuning } = leadership.parts.replica;
  progress.setBack(progress.match, sent.round);
  progress.pausedUntil = clock.monotonic() + tuning.heartbeatMs;
}

async function take(
  leadership: Leadership,
  progress: Progress,
  answer: AppendResponse,
  sent: Sent,
): Promise<void> {
  const { replica } = leadership.parts;
  if (answer.replicaId !== progress.voter.replicaId) {
    /*
     * The disk under this name is another one now. Counting its answers as the old replica's would count
     * promises that were lost with the old disk.
     */
    if (progress.strangerId !== answer.replicaId) {
      const { name } = progress.voter;
      replica.log.event(coordinationEvents.wrongReplica, { name, found: answer.replicaId });
      progress.strangerId = answer.replicaId;
      replica.memberNews.notify();
    }
    retryLater(leadership, progress, sent);
    return;
  }
  if (answer.term > leadership.term) {
    await leadership.observeTerm(answer.term);
    return;
  }
  progress.answered(sent.at);
  progress.isCaughtUp = answer.success && answer.matchIndex >= sent.request.commitIndex;
  if (answer.success) {
    noteMatch(leadership, progress, answer.matchIndex);
    return;
  }
  /*
   * A disk that drops synced bytes, or a journal that was cut by hand, leaves a replica without entries that it
   * acknowledged. Taken for an old answer it would be sent the same message for ever, and stay out of contact.
   */
  if (answer.matchIndex < progress.match) {
    // One that was sent before may have overtaken what it is said to lack.
    if (sent.at < progress.matchedAt) return;
    const { match, voter } = progress;
    if (!progress.lost(answer.matchIndex, sent.round)) return;
    const range = { acknowledged: match.toString(), held: answer.matchIndex.toString() };
    replica.log.event(coordinationEvents.lostEntries, { name: voter.name, ...range });
    return;
  }
  // A heartbeat overtakes long messages: what they bring is not missing, it is under way.
  const isArriving = progress.bytesInFlight > 0 && replica.clock.monotonic() < progress.arrivingUntil;
  if (isArriving && sent.request.entries.length === 0) return;
  const isBehind = answer.matchIndex < sent.request.previousIndex;
  if (isBehind) progress.setBack(answer.matchIndex, sent.round);
  else retryLater(leadership, progress, sent);
}

/** Sends the state in pieces to a replica that needs entries which are no longer held. */
async function install(leadership: Leadership, progress: Progress): Promise<void> {
  const { replica } = leadership.parts;
  const parcel = leadership.parts.snapshot();
  for (let offset = 0; offset === 0 || offset < parcel.data.length; offset += replica.tuning.pieceBytes) {
    if (!leadership.isActive || !progress.isMember) return;
    const isTaken = await sendPiece(leadership, progress, parcel, offset);
    if (!isTaken) {
      await leadership.work.waitFor(replica.clock, replica.tuning.heartbeatMs);
      return;
    }
  }
  noteMatch(leadership, progress, parcel.lastIndex);
}

/** Commits what a quorum has now; a learner that has all that is committed may vote. */
function noteMatch(leadership: Leadership, progress: Progress, index: bigint): void {
  const { replica } = leadership.parts;
  const isMore = progress.matched(index, replica.clock.monotonic());
  leadership.advance();
  const isLearner = !isVoter(replica.configuration, progress.voter.replicaId);
  if (isMore && isLearner && progress.match >= replica.commitIndex) replica.memberNews.notify();
}

async function sendPiece(
  leadership: Leadership,
  progress: Progress,
  parcel: Snapshot,
  offset: number,
): Promise<boolean> {
  const { replica, peers } = leadership.parts;
  const data = parcel.data.subarray(offset, offset + replica.tuning.pieceBytes);
  const request = create(InstallRequestSchema, {
    lastIndex: parcel.lastIndex,
    lastTerm: parcel.lastTerm,
    configuration: parcel.configuration,
    clusterId: replica.clusterId,
    leader: replica.name,
    term: leadership.term,
    offset: BigInt(offset),
    data,
    done: offset + data.length >= parcel.data.length,
    replicaId: progress.voter.replicaId,
  });
  const sentAt = replica.clock.monotonic();
  progress.sentAt = sentAt;
  const put = (client: AgreementClient, signal: AbortSignal) => client.install(request, { signal });
  const answer = await peers.call(progress.voter.address, put, { waits: APPEND_WAITS });
  if (answer.isErr()) return false;
  if (answer.value.term > leadership.term) await leadership.observeTerm(answer.value.term);
  if (!answer.value.success) return false;
  progress.answered(sentAt);
  return true;
}
