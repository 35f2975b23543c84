/** Unreadable entries of a list that other software may have written in part. */
export interface UnreadableEntries {
  /** Number of skipped entries. */
  readonly count: number;
  /** Why the first one could not be read. */
  readonly problem: string;
}
