/** Scales the interval at which a target is polled with the number of entries, which all get each report. */

/** Entries per step of the factor. With more entries a single target matters less to each of them. */
const ENTRIES_PER_STEP = 16;

/** Factor for the shortest interval, `max` at most. */
export function intervalFactor(entries: number, max: number): number {
  return Math.min(max, Math.max(1, Math.ceil(entries / ENTRIES_PER_STEP)));
}
