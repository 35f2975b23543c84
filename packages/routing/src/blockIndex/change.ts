/** Changes of an engine's prefix cache, in the shape in which engine adapters report them. */

/** Blocks that came into the cache, parents before children. */
export interface StoredBlocks {
  readonly type: 'stored';
  readonly incarnation: string;
  readonly sequence: number;
  /** Engine's hash of the block before the first, or null at the start of a prompt. */
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

/** Blocks that left the cache. */
export interface RemovedBlocks {
  readonly type: 'removed';
  readonly incarnation: string;
  readonly sequence: number;
  readonly hashes: readonly string[];
}

/** All blocks left the cache. */
export interface ClearedBlocks {
  readonly type: 'cleared';
  readonly incarnation: string;
  readonly sequence: number;
}

/** One numbered change. */
export type CacheChange = StoredBlocks | RemovedBlocks | ClearedBlocks;

/** The whole cache at one moment; parents come before children. */
export interface CacheSnapshot {
  readonly incarnation: string;
  /** Number of the last change that is in it. */
  readonly sequence: number;
  readonly events: readonly CacheChange[];
}

/**
 * What became of a change:
 * - `applied`: taken up in order.
 * - `gap`: taken up, but changes before it are missing: older blocks are not vouched for any more.
 * - `late`: its number has passed. Removals were taken up, the rest was not.
 * - `old-incarnation`: of an engine process that has ended; ignored.
 * - `unknown-incarnation`: of a process that `begin` has not named; everything was dropped.
 */
export type Applied = 'applied' | 'gap' | 'late' | 'old-incarnation' | 'unknown-incarnation';
