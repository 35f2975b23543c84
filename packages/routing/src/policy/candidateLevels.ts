/** Which targets are worth asking for a prompt. */
import type { Chain } from '../prefix/index.js';
import { levelsOf } from '../prefix/index.js';
import type { Candidate } from './policy.js';
import { homesOf } from './rendezvousHash.js';

/** Key of prompts too short for any level: all of them may go anywhere. */
const NO_PREFIX = { low: 0, high: 0 };

/**
 * Homes of a prompt's levels, deepest level first, each target once. A full home of the deep level is
 * followed by the homes of shallower ones, which hold the longest prefix that the prompt shares with others.
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
