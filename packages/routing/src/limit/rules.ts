/** Limits from a service's document, as enforced by an entry. */

/** Limits and weight of one customer, for all entries together. */
export interface CustomerRules {
  readonly requestsPerSecond?: number;
  readonly burst?: number;
  readonly concurrency?: number;
  /** Weight in fair queueing. */
  readonly share: number;
}

/** Rules of one service at one entry. */
export interface AdmissionRules {
  readonly customers: ReadonlyMap<string, CustomerRules>;
  /** Maximum number of queued requests at this entry. */
  readonly queue: number;
  /** Requests that all targets together run at once, from all entries. */
  readonly capacity: number;
  /** Number of live entries, including this one. */
  readonly liveEntries: number;
}

/**
 * This entry's share of a limit that applies to all entries. Rounded down, so that the shares add up to no more than
 * the limit, but at least 1: with a limit below the number of entries, the sum of the shares may exceed it.
 */
export function shareOf(limit: number, entries: number): number {
  return Math.max(1, Math.floor(limit / Math.max(1, entries)));
}
