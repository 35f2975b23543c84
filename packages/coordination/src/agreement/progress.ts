/** What a leader knows of one other replica. */
import type { Voter } from '../gen/agreement/agreement_pb.js';

/** Replication to one replica. */
export class Progress {
  /** Next entry to send. */
  next: bigint;
  /** Entries up to here are synced there. */
  match = 0n;
  /** When this became known. */
  matchedAt = -Infinity;
  /**
   * Whether its last answer had all that was committed when the message was sent. What has been committed since is on its way:
   * one that must have that too would never catch up while entries come faster than its answers.
   */
  isCaughtUp = false;
  /** Commit index it was last told of. */
  toldCommit = 0n;
  inFlight = 0;
  /** Bytes of the commands in messages without an answer yet. */
  bytesInFlight = 0;
  /** When these bytes have arrived at the latest, over a connection that is slow. */
  arrivingUntil = -Infinity;
  /** Raised when `next` was set back: answers to earlier messages don't set it back once more. */
  round = 0;
  /** When the newest message that it answered was sent; -Infinity: none. */
  answeredAt = -Infinity;
  /** When it was last heard, or became known to this leader. */
  heardAt: number;
  /** When the last message was sent. */
  sentAt = -Infinity;
  /** No message before this time, after one that failed. */
  pausedUntil = -Infinity;
  /** Another replica that answered in its place, after its own last answer. */
  strangerId: string | undefined;
  /** Set while the replica is a member. */
  isMember = true;

  constructor(
    public voter: Voter,
    lastIndex: bigint,
    now: number,
  ) {
    this.next = lastIndex + 1n;
    this.heardAt = now;
  }

  /** It answered a message sent at `sentAt`. */
  answered(sentAt: number): void {
    this.strangerId = undefined;
    if (sentAt > this.answeredAt) this.answeredAt = sentAt;
    if (sentAt > this.heardAt) this.heardAt = sentAt;
  }

  /** It has everything up to `index`, as is known now. @returns whether it had less before. */
  matched(index: bigint, now: number): boolean {
    const isMore = index > this.match;
    if (isMore) {
      this.match = index;
      this.matchedAt = now;
    }
    if (this.next <= this.match) this.next = this.match + 1n;
    return isMore;
  }

  /**
   * It has entries up to `index` only, fewer than it acknowledged. Returns false when an earlier answer of the
   * same round has told so.
   */
  lost(index: bigint, round: number): boolean {
    if (round !== this.round) return false;
    this.match = index;
    this.setBack(index, round);
    return true;
  }

  /** Starts again behind `index`, unless an earlier answer already did. */
  setBack(index: bigint, round: number): void {
    if (round !== this.round) return;
    this.round += 1;
    this.next = (index > this.match ? index : this.match) + 1n;
  }
}
