/**
 * The few targets to probe for a prompt.
 *
 * The homes of a prefix are computed from the prompt and the target names alone, so that all entries probe the same
 * ones, also after a restart. An entry's own observations only add targets that got overflow or are lightly loaded.
 */
import { levelsOf } from '../prefix/index.js';
import type { Chain, Level } from '../prefix/index.js';
import type { HomeCounts } from './homeCounts.js';
import type { LastLoads } from './lastLoads.js';
import type { Candidate } from './policy.js';
import type { Popularity } from './popularity.js';
import type { PrefixHints } from './prefixHints.js';
import { draw } from './random.js';
import type { Random } from './random.js';
import { homesOf } from './rendezvousHash.js';

/** Data from which shortlists are computed. */
export interface ShortlistSources {
  readonly hints: PrefixHints;
  readonly popularity: Popularity;
  readonly homeCounts: HomeCounts;
  readonly lastLoads: LastLoads;
  readonly random: Random;
  /** Maximum number of targets when this entry has not seen any prefix of the prompt. */
  readonly probesWithoutHint: number;
  /** Maximum number of targets for other prompts. */
  readonly probes: number;
}

/** The targets to probe for a prompt. */
export interface Shortlist {
  readonly candidates: readonly Candidate[];
  /** First home of the shared prefix. */
  readonly home?: Candidate;
  /** Length in blocks of the prefix that determines the home. */
  readonly sharedBlocks: number;
}

/** Level used for prompts that are too short to have one. */
const NO_PREFIX = { blocks: 0, low: 0, high: 0, key: 0 };

/** Maximum fraction of a prompt that is assumed to be shared with other prompts. */
const MAX_SHARED_FRACTION = 0.75;

/** Maximum number of homes of shallower levels on a shortlist. */
const MAX_SHALLOWER_HOMES = 2;

/**
 * The least loaded of this many random other targets is probed too. The least loaded of all would be the same for all
 * entries, and would be overloaded by them.
 */
const IDLE_SAMPLE = 5;

/** Computes the shortlist of a prompt. */
export function shortlistOf(
  sources: ShortlistSources,
  chain: Chain,
  candidates: readonly Candidate[],
): Shortlist {
  const levels = levelsOf(chain);
  const hint = sources.hints.deepest(levels, candidates);
  const count = Math.min(candidates.length, hint === undefined ? sources.probesWithoutHint : sources.probes);
  const shared = sharedLevel(levels, chain.length);
  const homes = homesFor(sources, shared, candidates, count);
  const chosen = new Set<Candidate>();
  const add = (more: readonly Candidate[], limit: number): void => {
    for (const candidate of more) if (chosen.size < limit) chosen.add(candidate);
  };
  if (hint !== undefined && hint.level.blocks >= shared.blocks) add(hint.candidates.slice(0, 1), count);
  add(draw(sources.random, homes.current, 2), count);
  add(hint?.candidates.slice(0, 1) ?? [], count);
  addShallowerHomes(
    levels,
    shared,
    candidates,
    chosen,
    Math.min(count - 1, chosen.size + MAX_SHALLOWER_HOMES),
  );
  add(homes.next, count - 1);
  add(leastLoaded(sources, candidates, chosen), count);
  add(homes.next, count);
  return { candidates: [...chosen], home: homes.current[0], sharedBlocks: shared.blocks };
}

/**
 * The level that determines the home of a prompt: the deepest one that excludes the end of the prompt, which usually
 * differs in each request. It must not depend on an entry's own observations, or entries would disagree on the home.
 */
function sharedLevel(levels: readonly Level[], blocks: number): Level {
  const limit = MAX_SHARED_FRACTION * blocks;
  return levels.find((level) => level.blocks <= limit) ?? levels[0] ?? NO_PREFIX;
}

/** Homes of a prefix, best first. */
interface Homes {
  /** Homes in use for the current traffic. */
  readonly current: readonly Candidate[];
  /** Homes that would be added next. */
  readonly next: readonly Candidate[];
}

function homesFor(
  sources: ShortlistSources,
  level: Level,
  candidates: readonly Candidate[],
  more: number,
): Homes {
  const share = sources.popularity.share(level.key);
  const count = sources.homeCounts.homes(level.key, share, candidates.length);
  const homes = homesOf(level, candidates, count + more);
  return { current: homes.slice(0, count), next: homes.slice(count) };
}

/** Adds the first homes of levels shallower than the shared one, deepest first: they have the next longest prefixes. */
function addShallowerHomes(
  levels: readonly Level[],
  shared: Level,
  candidates: readonly Candidate[],
  chosen: Set<Candidate>,
  limit: number,
): void {
  for (const level of levels) {
    if (chosen.size >= limit) return;
    if (level.blocks >= shared.blocks) continue;
    for (const home of homesOf(level, candidates, 1)) chosen.add(home);
  }
}

function leastLoaded(
  sources: ShortlistSources,
  candidates: readonly Candidate[],
  chosen: ReadonlySet<Candidate>,
): Candidate[] {
  const others = draw(sources.random, candidates, IDLE_SAMPLE + chosen.size).filter(
    (other) => !chosen.has(other),
  );
  const [first, ...rest] = others;
  if (first === undefined) return [];
  let best = first;
  for (const other of rest) {
    if (sources.lastLoads.waitMs(other) < sources.lastLoads.waitMs(best)) best = other;
  }
  return [best];
}
