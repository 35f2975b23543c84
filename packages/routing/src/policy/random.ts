/** Random numbers of a policy, the same for the same seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Numbers from 0 (included) to 1 (left out). */
export type Random = () => number;

/** Makes a source from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws `count` different items; all of them when there are no more. */
export function draw<Item>(random: Random, items: readonly Item[], count: number): Item[] {
  if (items.length <= count) return [...items];
  const drawn = new Set<Item>();
  while (drawn.size < count) {
    const item = items[Math.floor(random() * items.length)];
    if (item !== undefined) drawn.add(item);
  }
  return [...drawn];
}
