/** Cache events of a cache store or a target. */
import type { StoredPart } from './partKey.js';
import type { UnreadableEntries } from './unreadable.js';

/** Changes of a cache since the previous call. */
export interface CacheUpdate {
  /** Differs for each start of the store or target. */
  readonly incarnation: number;
  /** Position from which the next call continues. */
  readonly next: number;
  /** Whether events before these are lost. */
  readonly hasGap: boolean;
  /** Events in order. `isKept` false: blocks of the part were evicted. */
  readonly events: readonly (StoredPart & { readonly isKept: boolean })[];
  /** Further events that could not be read; absent: none. */
  readonly unread?: UnreadableEntries;
}
