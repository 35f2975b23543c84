/**
 * Nested prefix levels of a prompt. A prompt does not mark where its shared parts end (such as a system prompt or a
 * document), so levels are cut at fixed depths: two prompts that share `n` blocks share every level up to `n`.
 */
import type { Chain } from './chain.js';

/** A prefix of a prompt at a fixed depth. */
export interface Level {
  /** Number of blocks. */
  readonly blocks: number;
  /** Halves of the hash of the prefix. */
  readonly low: number;
  readonly high: number;
  /** 53 bits of the hash, as key of in-memory tables. */
  readonly key: number;
}

/** Blocks of the first level. The next ones have 1.5, 2, 3 and 4 times as many, and so on. */
const FIRST_LEVEL_BLOCKS = 4;

/** 2^32, and the mask of the bits of the high half that fit into a 53-bit key. */
const HIGH_UNIT = 4_294_967_296;
const HIGH_MASK = 0x1f_ffff;

/** Levels of a chain at 4, 6, 8, 12, 16… blocks, deepest first. Shorter prompts have one level with all their blocks. */
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
  return { blocks, low, high, key: (high & HIGH_MASK) * HIGH_UNIT + low };
}
