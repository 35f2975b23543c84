/** Seeded random numbers: the same seed gives the same run. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Draws that are dropped. The generator's state is the seed alone at first: with a small one the first draws are
 * all but 1, and the first arrival of a run came fifteen mean gaps late.
 */
const DROPPED_DRAWS = 32;

/** A stream of random numbers. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    for (let draw = 0; draw < DROPPED_DRAWS; draw += 1) this.float();
  }

  /** At least 0, under 1. */
  float(): number {
    return uniformFloat64(this.generator);
  }

  /** At least 0, under `bound`. */
  below(bound: number): number {
    return Math.min(bound - 1, Math.floor(this.float() * bound));
  }

  /** True with this probability. */
  chance(probability: number): boolean {
    return this.float() < probability;
  }

  /** Exponentially distributed, as gaps of a Poisson process are. */
  exponential(mean: number): number {
    return -Math.log(1 - this.float()) * mean;
  }

  /** Index drawn in proportion to the weights. */
  weighted(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let rest = this.float() * total;
    for (const [index, weight] of weights.entries()) {
      rest -= weight;
      if (rest < 0) return index;
    }
    return weights.length - 1;
  }
}

/** Weights of a Zipf distribution over `count` ranks. */
export function zipfWeights(count: number, exponent: number): number[] {
  return Array.from({ length: count }, (_, rank) => 1 / (rank + 1) ** exponent);
}
