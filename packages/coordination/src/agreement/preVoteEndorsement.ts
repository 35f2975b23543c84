/** Pre-votes are given to one candidate at a time, because several candidates at once split the votes. */
import type { Clock } from '@jasmineroute/core';
import type { Position } from './entryLog.js';

/** A replica that requests pre-votes. */
export interface Candidate {
  readonly replicaId: string;
  /** Index and term of the last entry in its log. */
  readonly last: Position;
  /** Its rank among the voters; lower ranks campaign first. */
  readonly rank: number;
}

const isAtLeast = (a: Position, b: Position): boolean =>
  a.term > b.term || (a.term === b.term && a.index >= b.index);

/** Prefers the more up-to-date log, as only that candidate may be electable, then the lower rank. */
function isPreferred(a: Candidate, b: Candidate): boolean {
  if (!isAtLeast(b.last, a.last)) return true;
  return isAtLeast(a.last, b.last) && a.rank < b.rank;
}

/** The candidate that a replica gives its pre-vote, possibly itself. Kept in memory only, as safety does not depend on it. */
export class PreVoteEndorsement {
  private candidate: Candidate | undefined;
  private endsAt = -Infinity;
  /** Time from which a candidate may be endorsed again, by replica id: one that can't win must not block the others. */
  private readonly renewableAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly lengthMs: number,
  ) {}

  /**
   * Endorses a candidate, unless another one is endorsed that is at least as preferred. Returns whether it has the pre-vote.
   */
  support(candidate: Candidate): boolean {
    const { replicaId } = candidate;
    const now = this.clock.monotonic();
    const held = now < this.endsAt ? this.candidate : undefined;
    if (held?.replicaId === replicaId) return true;
    if (now < (this.renewableAt.get(replicaId) ?? -Infinity)) return held === undefined;
    if (held !== undefined && !isPreferred(candidate, held)) return false;
    this.candidate = candidate;
    this.endsAt = now + this.lengthMs;
    this.renewableAt.set(replicaId, this.endsAt + this.lengthMs);
    return true;
  }

  /** Whether the last endorsement, which may have expired, was of this replica. */
  wasOf(replicaId: string): boolean {
    return this.candidate?.replicaId === replicaId;
  }
}
