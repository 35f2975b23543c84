/** Which candidate a replica supports: one at a time, as several at once split the votes. */
import type { Clock } from '@jasmineroute/core';
import type { Position } from './entryLog.js';

/** A replica that wants to be elected. */
export interface Candidate {
  readonly replicaId: string;
  /** End of its log. */
  readonly last: Position;
  /** Its rank among the voters; lower ones stand first. */
  readonly rank: number;
}

const isAtLeast = (a: Position, b: Position): boolean =>
  a.term > b.term || (a.term === b.term && a.index >= b.index);

/** The one with more in its log comes first, as only it may be electable; of equal ones the rank decides. */
function isBefore(a: Candidate, b: Candidate): boolean {
  if (!isAtLeast(b.last, a.last)) return true;
  return isAtLeast(a.last, b.last) && a.rank < b.rank;
}

/** The endorsement of one replica, which may be its own candidate. It is kept in memory only: no promise depends on it. */
export class Endorsement {
  private candidate: Candidate | undefined;
  private endsAt = -Infinity;
  /** When a candidate may be endorsed again, by its id: one that can't be elected would keep all others from it. */
  private readonly renewableAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly lengthMs: number,
  ) {}

  /** Endorses a candidate unless another one is endorsed that does not come behind it. Returns whether it is supported. */
  support(candidate: Candidate): boolean {
    const { replicaId } = candidate;
    const now = this.clock.monotonic();
    const held = now < this.endsAt ? this.candidate : undefined;
    if (held?.replicaId === replicaId) return true;
    if (now < (this.renewableAt.get(replicaId) ?? -Infinity)) return held === undefined;
    if (held !== undefined && !isBefore(candidate, held)) return false;
    this.candidate = candidate;
    this.endsAt = now + this.lengthMs;
    this.renewableAt.set(replicaId, this.endsAt + this.lengthMs);
    return true;
  }

  /** Whether the last endorsement, which may have ended, was of this replica. */
  wasOf(replicaId: string): boolean {
    return this.candidate?.replicaId === replicaId;
  }
}
