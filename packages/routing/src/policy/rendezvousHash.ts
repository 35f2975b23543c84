/**
 * Weighted rendezvous hashing: each target draws a score from the key and its name, the largest wins. It is
 * computed from names alone, so all entries agree and a restarted one decides as before; a target that comes
 * or goes moves only its own keys.
 */
import type { Level } from '../prefix/index.js';
import type { Candidate as AnyCandidate } from './policy.js';

/** What the hashing needs of a target. */
export type Home = Pick<AnyCandidate, 'name' | 'capacity'>;

/** Scale of a 32-bit number to (0, 1). */
const UNIT = 2 ** -32;

const nameHashes = new Map<string, number>();

/** Names that are kept hashed; more than a service's targets ever are. */
const MAX_NAMES = 20_000;

/** Mixes all bits of a 32-bit number (the finalizer of MurmurHash3). */
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
  if (nameHashes.size >= MAX_NAMES) nameHashes.clear();
  nameHashes.set(name, mix(hash));
  return mix(hash);
}

/** The key of a text: two numbers of 32 bits (FNV-1a with two offsets). */
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

/** Draw of a target for a key, 0 to 2^32: larger is nearer to the key. */
function drawOf(low: number, high: number, candidate: Home): number {
  return mix(mix(hashName(candidate.name) ^ low) ^ high);
}

/** A draw weighted by capacity. */
function weighted(drawn: number, capacity: number): number {
  return -capacity / Math.log((drawn + 0.5) * UNIT);
}

/** Whether all weigh the same; then the weight, which leaves the order as it is, need not be computed. */
function isEven(candidates: readonly Home[]): boolean {
  const capacity = candidates[0]?.capacity;
  return candidates.every((candidate) => candidate.capacity === capacity);
}

/** The `count` first homes of a prefix, best first. */
export function homesOf<Candidate extends Home>(
  prefix: Pick<Level, 'low' | 'high'>,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  const even = isEven(candidates);
  const homes: { readonly candidate: Candidate; readonly score: number }[] = [];
  let least = Number.NEGATIVE_INFINITY;
  for (const candidate of candidates) {
    const drawn = drawOf(prefix.low, prefix.high, candidate);
    const score = even ? drawn : weighted(drawn, candidate.capacity);
    if (homes.length === count && score <= least) continue;
    const place = homes.findIndex((home) => home.score < score);
    homes.splice(place < 0 ? homes.length : place, 0, { candidate, score });
    if (homes.length > count) homes.pop();
    least = homes.at(-1)?.score ?? least;
  }
  return homes.map((home) => home.candidate);
}
