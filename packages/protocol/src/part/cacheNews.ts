/** What a store or a target tells of its cache. */
import type { StoredPart } from './partKey.js';
import type { Unread } from './unread.js';

/** What happened to a cache since the last call. */
export interface CacheNews {
  /** New for each start of the store or target. */
  readonly incarnation: number;
  /** Where the next call goes on. */
  readonly next: number;
  /** Some events before these are gone. */
  readonly hasGap: boolean;
  /** In order; not kept: there is less of the part than before. */
  readonly events: readonly (StoredPart & { readonly isKept: boolean })[];
  /** Events beside these that could not be read; absent: none. */
  readonly unread?: Unread;
}
