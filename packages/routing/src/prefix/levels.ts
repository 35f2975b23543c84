/**
 * Nested levels of a prompt. Where a house style ends and a collection begins is not written in a prompt, so
 * levels are cut at fixed depths: two prompts that share `n` blocks share every level up to `n`.
 */
import type { Chain } from './chain.js';

/** A prefix of a prompt. */
export interface Level {
  /** Number of blocks. */
  readonly blocks: number;
  /** Hash of the prefix. */
  readonly hash: bigint;
}

/** Blocks of the first level, and the ratio between one level and the next. */
const FIRST_LEVEL_BLOCKS = 4;
const LEVEL_RATIO = 2;

/** Levels of a chain, deepest first: 4, 8, 16… blocks. Prompts too short for any have their last block. */
export function levelsOf(chain: Chain): Level[] {
  const levels: Level[] = [];
  for (let blocks = FIRST_LEVEL_BLOCKS; blocks <= chain.length; blocks *= LEVEL_RATIO) {
    levels.unshift({ blocks, hash: chain[blocks - 1] ?? 0n });
  }
  const last = chain.at(-1);
  if (levels.length === 0 && last !== undefined) return [{ blocks: chain.length, hash: last }];
  return levels;
}
