/**
 * The few targets that are asked about a prompt.
 *
 * Homes are computed from the prompt and the targets' names, so all entries ask the same ones, and a restarted
 * one asks the same as before. What the entry remembers only tells where overflow went, and who idles.
 */
import { levelsOf } from '../prefix/index.js';
import type { Chain, Level } from '../prefix/index.js';
import type { HomeCounts } from './homeCounts.js';
import type { LoadBook } from './loadBook.js';
import type { Candidate } from './policy.js';
import type { Popularity } from './popularity.js';
import type { PrefixHints } from './prefixHints.js';
import { draw } from './random.js';
import type { Random } from './random.js';
import { homesOf } from './rendezvousHash.js';

/** What shortlists are made with. */
export interface ShortlistParts {
  readonly hints: PrefixHints;
  readonly popularity: Popularity;
  readonly homeCounts: HomeCounts;
  readonly loadBook: LoadBook;
  readonly random: Random;
  /** Targets asked for a prompt of which no prefix is known here. */
  readonly probesUnknown: number;
  /** Targets asked for any other. */
  readonly probes: number;
}

/** Targets to ask, the first home of the shared prefix named. */
export interface Shortlist {
  readonly candidates: readonly Candidate[];
  readonly home?: Candidate;
  /** Length of the shared prefix by which the prompt has its home. */
  readonly sharedBlocks: number;
}

/** Key of prompts too short for any level. */
const NO_PREFIX = { blocks: 0, low: 0, high: 0, key: 0 };

/** Part of a prompt that is taken to be shared at most. */
const SHARED_PART = 0.75;

/** First homes of shallower levels that are asked at most. */
const SHALLOWER_HOMES = 2;

/** Of this many others, the idlest is asked too: not always the idlest of all, which all entries would find. */
const IDLE_DRAWN = 5;

/** Makes the shortlist of a prompt. */
export function shortlistOf(
  parts: ShortlistParts,
  chain: Chain,
  candidates: readonly Candidate[],
): Shortlist {
  const levels = levelsOf(chain);
  const hint = parts.hints.deepest(levels, candidates);
  const count = Math.min(candidates.length, hint === undefined ? parts.probesUnknown : parts.probes);
  const shared = sharedLevel(levels, chain.length);
  const homes = homesFor(parts, shared, candidates, count);
  const asked = new Set<Candidate>();
  const add = (more: readonly Candidate[], most: number): void => {
    for (const candidate of more) if (asked.size < most) asked.add(candidate);
  };
  if (hint !== undefined && hint.level.blocks >= shared.blocks) add(hint.candidates.slice(0, 1), count);
  add(draw(parts.random, homes.current, 2), count);
  add(hint?.candidates.slice(0, 1) ?? [], count);
  addShallower(levels, shared, candidates, asked, Math.min(count - 1, asked.size + SHALLOWER_HOMES));
  add(homes.next, count - 1);
  add(idlest(parts, candidates, asked), count);
  add(homes.next, count);
  return { candidates: [...asked], home: homes.current[0], sharedBlocks: shared.blocks };
}

/**
 * The level by which a prompt has its home: the deepest that leaves a part of the prompt out, as its last part
 * is new each time. It must not depend on what the entry remembers, or entries would disagree on the home.
 */
function sharedLevel(levels: readonly Level[], blocks: number): Level {
  const most = SHARED_PART * blocks;
  return levels.find((level) => level.blocks <= most) ?? levels[0] ?? NO_PREFIX;
}

/** Homes of a prefix, best first. */
interface Homes {
  /** As many as its traffic asks for now. */
  readonly current: readonly Candidate[];
  /** Those that would come next. */
  readonly next: readonly Candidate[];
}

function homesFor(
  parts: ShortlistParts,
  level: Level,
  candidates: readonly Candidate[],
  more: number,
): Homes {
  const share = parts.popularity.share(level.key);
  const count = parts.homeCounts.homes(level.key, share, candidates.length);
  const homes = homesOf(level, candidates, count + more);
  return { current: homes.slice(0, count), next: homes.slice(count) };
}

/** Adds first homes of the levels above the shared one, deepest first: they hold the longest prefix next to it. */
function addShallower(
  levels: readonly Level[],
  shared: Level,
  candidates: readonly Candidate[],
  asked: Set<Candidate>,
  most: number,
): void {
  for (const level of levels) {
    if (asked.size >= most) return;
    if (level.blocks >= shared.blocks) continue;
    for (const home of homesOf(level, candidates, 1)) asked.add(home);
  }
}

function idlest(
  parts: ShortlistParts,
  candidates: readonly Candidate[],
  asked: ReadonlySet<Candidate>,
): Candidate[] {
  const others = draw(parts.random, candidates, IDLE_DRAWN + asked.size).filter((other) => !asked.has(other));
  const [first, ...rest] = others;
  if (first === undefined) return [];
  let best = first;
  for (const other of rest) {
    if (parts.loadBook.waitMs(other) < parts.loadBook.waitMs(best)) best = other;
  }
  return [best];
}
