/** Deterministic random numbers of a policy. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Uniform numbers in [0, 1). */
export type Random = () => number;

/** Creates a generator from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws `count` distinct items, or all of them when there are no more. */
export function draw<Item>(random: Random, items: readonly Item[], count: number): Item[] {
  if (items.length <= count) return [...items];
  const drawn = new Set<Item>();
  while (drawn.size < count) {
    const item = items[Math.floor(random() * items.length)];
    if (item !== undefined) drawn.add(item);
  }
  return [...drawn];
}
