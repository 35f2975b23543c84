/**
 * Weighted rendezvous hashing: each target gets a score from the key and its name, and the highest scores are the
 * homes of the key. Scores depend on names and capacities alone, so that all entries agree, also after a restart, and
 * adding or removing a target moves only its own keys.
 */
import type { Level } from '../prefix/index.js';
import type { Candidate as AnyCandidate } from './policy.js';

/** Properties of a target that enter its score. */
export type HashTarget = Pick<AnyCandidate, 'name' | 'capacity'>;

/** Scales a 32-bit number to (0, 1). */
const UNIT = 2 ** -32;

const nameHashes = new Map<string, number>();

/** Bound of the cache of name hashes; a service has fewer targets. */
const MAX_CACHED_NAMES = 20_000;

/** The 32-bit finalizer of MurmurHash3. */
function mix(value: number): number {
  let bits = value | 0;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

function hashName(name: string): number {
  const known = nameHashes.get(name);
  if (known !== undefined) return known;
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  }
  if (nameHashes.size >= MAX_CACHED_NAMES) nameHashes.clear();
  nameHashes.set(name, mix(hash));
  return mix(hash);
}

/** 64-bit key of a text, as two 32-bit hashes in the manner of FNV-1a. */
export function textKey(text: string): Pick<Level, 'low' | 'high'> {
  let low = 0x811c9dc5;
  let high = 0x01000193;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    low = Math.imul(low ^ code, 0x01000193);
    high = Math.imul(high ^ code, 0x85ebca6b);
  }
  return { low: low >>> 0, high: high >>> 0 };
}

/** Unweighted score of a target for a key, 0 to 2^32 - 1. */
function hashFor(low: number, high: number, candidate: HashTarget): number {
  return mix(mix(hashName(candidate.name) ^ low) ^ high);
}

/** Score weighted by capacity. */
function weightedScore(drawn: number, capacity: number): number {
  return -capacity / Math.log((drawn + 0.5) * UNIT);
}

/** With equal capacities the weights do not change the order and need not be computed. */
function haveEqualCapacity(candidates: readonly HashTarget[]): boolean {
  const capacity = candidates[0]?.capacity;
  return candidates.every((candidate) => candidate.capacity === capacity);
}

/** The first `count` homes of a prefix, best first. */
export function homesOf<Candidate extends HashTarget>(
  prefix: Pick<Level, 'low' | 'high'>,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  const even = haveEqualCapacity(candidates);
  const homes: { readonly candidate: Candidate; readonly score: number }[] = [];
  let least = Number.NEGATIVE_INFINITY;
  for (const candidate of candidates) {
    const drawn = hashFor(prefix.low, prefix.high, candidate);
    const score = even ? drawn : weightedScore(drawn, candidate.capacity);
    if (homes.length === count && score <= least) continue;
    const place = homes.findIndex((home) => home.score < score);
    homes.splice(place < 0 ? homes.length : place, 0, { candidate, score });
    if (homes.length > count) homes.pop();
    least = homes.at(-1)?.score ?? least;
  }
  return homes.map((home) => home.candidate);
}
