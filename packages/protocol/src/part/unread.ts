/** What could not be read of a list that another writer may have a part in. */
export interface Unread {
  /** Entries that were left out. */
  readonly count: number;
  /** Why the first of them could not be read. */
  readonly problem: string;
}
