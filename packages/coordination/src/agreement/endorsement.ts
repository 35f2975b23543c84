/** Which candidate a replica supports: one at a time, as several at once split the votes. */
import type { Clock } from '@jasmineroute/core';
import type { Position } from './entryLog.js';

/** A replica that wants to be elected. */
export interface Candidate {
  readonly replicaId: string;
  /** End of its log. */
  readonly last: Position;
  /** Its place in the order in which voters stand. */
  readonly place: number;
}

const isAtLeast = (a: Position, b: Position): boolean =>
  a.term > b.term || (a.term === b.term && a.index >= b.index);

/** The one with more in its log comes first, as only it may be electable; of equal ones the order of the voters decides. */
function isBefore(a: Candidate, b: Candidate): boolean {
  if (!isAtLeast(b.last, a.last)) return true;
  return isAtLeast(a.last, b.last) && a.place < b.place;
}

/** The endorsement of one replica, which may be its own candidate. It is kept in memory only: no promise depends on it. */
export class Endorsement {
  private candidate: Candidate | undefined;
  private endsAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly lengthMs: number,
  ) {}

  /** Endorses a candidate, unless another one that does not come behind it is endorsed already. Returns whether it does. */
  give(candidate: Candidate): boolean {
    const now = this.clock.monotonic();
    // It is not renewed at once: a candidate that can't be elected would keep all others from it.
    if (this.isOf(candidate.replicaId) && now < this.endsAt + this.lengthMs) return true;
    const isHeld = this.candidate !== undefined && now < this.endsAt;
    if (isHeld && this.candidate !== undefined && !isBefore(candidate, this.candidate)) return false;
    this.candidate = candidate;
    this.endsAt = now + this.lengthMs;
    return true;
  }

  /** Whether the last endorsement was of this replica. */
  isOf(replicaId: string): boolean {
    return this.candidate?.replicaId === replicaId;
  }
}
