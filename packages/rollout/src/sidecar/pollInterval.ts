/** How often the process beside a target looks at it, by how many entries hear of it. */

/** Entries for which the shortest times hold: what is told goes to all of them, and each knows less of a single target. */
const ENTRIES_EACH = 16;

/** How many times as long it waits with so many entries, `most` at most. */
export function timesFor(entries: number, most: number): number {
  return Math.min(most, Math.max(1, Math.ceil(entries / ENTRIES_EACH)));
}
