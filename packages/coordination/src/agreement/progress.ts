/** State that a leader keeps about the replication to one other replica. */
import type { Voter } from '../gen/agreement/agreement_pb.js';

/** Progress of the replication to one replica. Times are monotonic. */
export class Progress {
  /** Index of the next entry to send. */
  next: bigint;
  /** Index up to which entries are known to be synced on the replica. */
  match = 0n;
  /** Time at which `match` last advanced. */
  matchedAt = -Infinity;
  /**
   * Whether, by its last answer, it had all entries that were committed when the message was sent. Later commits don't count:
   * otherwise a replica could never catch up while entries are committed faster than its answers arrive.
   */
  isCaughtUp = false;
  /** Commit index in the last message sent to it. */
  sentCommitIndex = 0n;
  /** Messages without an answer yet. */
  inFlight = 0;
  /** Bytes of the commands in these messages. */
  bytesInFlight = 0;
  /** Latest time at which these bytes should have arrived, at the slowest supported transfer rate. */
  expectedArrival = -Infinity;
  /** Incremented when `next` moves back, so that answers to earlier messages don't move it back again. */
  round = 0;
  /** Time at which the newest answered message was sent; -Infinity if none. */
  lastAnsweredSentAt = -Infinity;
  /** Time of the last contact: `lastAnsweredSentAt`, or the start of the replication if that is later. */
  lastContactAt: number;
  /** Time at which the last message was sent. */
  sentAt = -Infinity;
  /** Time until which nothing is sent, after a failed message. */
  pausedUntil = -Infinity;
  /** Id of a replica that has answered at its address since its own last answer. */
  replacementId: string | undefined;
  /** Whether the replica is still a member. */
  isMember = true;

  constructor(
    public voter: Voter,
    lastIndex: bigint,
    now: number,
  ) {
    this.next = lastIndex + 1n;
    this.lastContactAt = now;
  }

  /** Records an answer to a message sent at `sentAt`. */
  recordAnswer(sentAt: number): void {
    this.replacementId = undefined;
    if (sentAt > this.lastAnsweredSentAt) this.lastAnsweredSentAt = sentAt;
    if (sentAt > this.lastContactAt) this.lastContactAt = sentAt;
  }

  /** Records that it has all entries up to `index`. @returns whether `match` advanced. */
  recordMatch(index: bigint, now: number): boolean {
    const hasAdvanced = index > this.match;
    if (hasAdvanced) {
      this.match = index;
      this.matchedAt = now;
    }
    if (this.next <= this.match) this.next = this.match + 1n;
    return hasAdvanced;
  }

  /**
   * Records that it only has entries up to `index`, fewer than it acknowledged. Returns false when an earlier answer has
   * already reported this.
   */
  recordLostEntries(index: bigint, round: number): boolean {
    if (round !== this.round) return false;
    this.match = index;
    this.backtrack(index, round);
    return true;
  }

  /** Moves `next` back to the entry after `index`, unless an earlier answer already moved it back. */
  backtrack(index: bigint, round: number): void {
    if (round !== this.round) return;
    this.round += 1;
    this.next = (index > this.match ? index : this.match) + 1n;
  }
}
