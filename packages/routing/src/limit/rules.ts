/** What a service's document allows its customers, as an entry enforces it. */

/** Limits and weight of one customer, over all entries. */
export interface CustomerRules {
  readonly requestsPerSecond?: number;
  readonly burst?: number;
  readonly concurrency?: number;
  /** Weight of the fair share. */
  readonly share: number;
}

/** Rules of one service at one entry. */
export interface AdmissionRules {
  readonly customers: ReadonlyMap<string, CustomerRules>;
  /** Requests that may wait at this entry. */
  readonly queue: number;
  /** Requests that all targets run at once, over all entries. */
  readonly capacity: number;
  /** Entries that serve now, this one included. */
  readonly liveEntries: number;
}

/**
 * This entry's part of a whole number that all entries share. Rounded down, so that all parts together stay
 * within the whole, but at least 1: with fewer than one for each entry, the parts may exceed the whole.
 */
export function wholePart(whole: number, entries: number): number {
  return Math.max(1, Math.floor(whole / Math.max(1, entries)));
}
