/** Selection of targets by the prefixes of a prompt. */
import type { Chain } from '../prefix/index.js';
import { levelsOf } from '../prefix/index.js';
import type { Candidate } from './policy.js';
import { homesOf } from './rendezvousHash.js';

/** Key of prompts that are too short to have a level. */
const NO_PREFIX = { low: 0, high: 0 };

/**
 * Homes of a prompt's levels, deepest level first, without duplicates. If the home of the deepest level is full, the
 * homes of shallower levels have the longest remaining prefixes that the prompt shares with others.
 */
export function homesByLevel(chain: Chain, candidates: readonly Candidate[], count: number): Candidate[] {
  const homes = new Set<Candidate>();
  const levels = levelsOf(chain);
  for (const level of levels) {
    for (const home of homesOf(level, candidates, 1)) homes.add(home);
    if (homes.size >= count) return [...homes];
  }
  const root = levels.at(-1) ?? NO_PREFIX;
  for (const home of homesOf(root, candidates, count)) {
    if (homes.size < count) homes.add(home);
  }
  return [...homes];
}
