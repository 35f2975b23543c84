/** Changes of an engine's prefix cache, as reported by engine adapters. */

/** Blocks that were added to the cache, parents before children. */
export interface StoredBlocks {
  readonly type: 'stored';
  readonly incarnation: string;
  readonly sequence: number;
  /** The engine's hash of the block before the first one, or null at the start of a prompt. */
  readonly parent: string | null;
  readonly hashes: readonly string[];
  /** Token ids of all the blocks, in order. */
  readonly tokens: readonly number[];
  readonly blockTokens: number;
  /** Customer that the blocks belong to. */
  readonly salt: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: string;
}

/** Blocks that were removed from the cache. */
export interface RemovedBlocks {
  readonly type: 'removed';
  readonly incarnation: string;
  readonly sequence: number;
  readonly hashes: readonly string[];
}

/** The whole cache was cleared. */
export interface ClearedBlocks {
  readonly type: 'cleared';
  readonly incarnation: string;
  readonly sequence: number;
}

/** A change with its sequence number. */
export type CacheChange = StoredBlocks | RemovedBlocks | ClearedBlocks;

/** Content of the cache at one point in time, parents before children. */
export interface CacheSnapshot {
  readonly incarnation: string;
  /** Sequence number of the last change that is included. */
  readonly sequence: number;
  readonly events: readonly CacheChange[];
}

/**
 * Result of applying a change:
 * - `applied`: applied in order.
 * - `gap`: applied, but changes before it are missing; older blocks are no longer confirmed.
 * - `late`: out of order, after changes with a higher number. Removals were applied, stored blocks were ignored.
 * - `old-incarnation`: ignored, as its engine process has ended.
 * - `unknown-incarnation`: of a process that was not announced by `begin`; the index was cleared.
 */
export type Applied = 'applied' | 'gap' | 'late' | 'old-incarnation' | 'unknown-incarnation';
