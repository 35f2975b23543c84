/**
 * Nested levels of a prompt. Where a house style ends and a collection begins is not written in a prompt, so
 * levels are cut at fixed depths: two prompts that share `n` blocks share every level up to `n`.
 */
import type { Chain } from './chain.js';

/** A prefix of a prompt. */
export interface Level {
  /** Number of blocks. */
  readonly blocks: number;
  /** Halves of the prefix's hash. */
  readonly low: number;
  readonly high: number;
  /** 53 bits of the hash, for tables in memory. */
  readonly key: number;
}

/** Blocks of the first level; then come half as many more, and twice as many, and so on. */
const FIRST_LEVEL_BLOCKS = 4;

/** 2^32, and the bits of the high half that fit beside the low one. */
const HIGH_UNIT = 4_294_967_296;
const HIGH_BITS = 0x1f_ffff;

/** Levels of a chain, deepest first: 4, 6, 8, 12, 16… blocks. Prompts too short for any have their last block. */
export function levelsOf(chain: Chain): Level[] {
  const halves = new Uint32Array(chain.buffer, chain.byteOffset, 2 * chain.length);
  const levels: Level[] = [];
  for (let blocks = FIRST_LEVEL_BLOCKS; blocks <= chain.length; blocks *= 2) {
    levels.push(levelAt(halves, blocks));
    if (1.5 * blocks <= chain.length) levels.push(levelAt(halves, 1.5 * blocks));
  }
  if (levels.length === 0 && chain.length > 0) return [levelAt(halves, chain.length)];
  return levels.reverse();
}

function levelAt(halves: Uint32Array, blocks: number): Level {
  const low = halves[2 * blocks - 2] ?? 0;
  const high = halves[2 * blocks - 1] ?? 0;
  return { blocks, low, high, key: (high & HIGH_BITS) * HIGH_UNIT + low };
}
