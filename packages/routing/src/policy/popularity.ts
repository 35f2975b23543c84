/** Share of the recent requests of each prefix, in bounded memory. */
import type { Clock } from '@jasmineroute/core';

const ROWS = 4;
const COLUMNS = 2_048;

/** Time in which the weight of a request decays to 1/e. */
const DECAY_MS = 10_000;

/** Interval at which weights are rescaled, long before they lose precision. */
const RESCALE_MS = 25 * DECAY_MS;

/** Requests assumed at the start, so that the first prefix does not count as all of the traffic. */
const PRIOR_REQUESTS = 20;

const UNIT = 2 ** -32;
const ROW_FACTORS = [0x9e3779b1, 0x85ebca77, 0xc2b2ae3d, 0x27d4eb2f];

/**
 * Count-min sketch with exponential decay. Instead of decaying old counts, new requests get a larger weight, which
 * avoids updating all counters as time passes. Collisions can make a share too large, never too small.
 */
export class Popularity {
  private readonly counts = new Float64Array(ROWS * COLUMNS);
  private total = PRIOR_REQUESTS;
  private epoch: number;

  constructor(private readonly clock: Clock) {
    this.epoch = clock.monotonic();
  }

  /** Counts one request under all of its prefixes. */
  record(keys: readonly number[]): void {
    if (this.clock.monotonic() - this.epoch > RESCALE_MS) this.rescale();
    const weight = this.weight();
    this.total += weight;
    for (const key of keys) {
      for (let row = 0; row < ROWS; row += 1) this.add(row, key, weight);
    }
  }

  /** Share of the recent requests that have a prefix, 0 to 1. */
  share(key: number): number {
    let least = Number.POSITIVE_INFINITY;
    for (let row = 0; row < ROWS; row += 1) least = Math.min(least, this.counts[cellOf(row, key)] ?? 0);
    return least / this.total;
  }

  private add(row: number, key: number, weight: number): void {
    const index = cellOf(row, key);
    this.counts[index] = (this.counts[index] ?? 0) + weight;
  }

  private weight(): number {
    return Math.exp((this.clock.monotonic() - this.epoch) / DECAY_MS);
  }

  private rescale(): void {
    const kept = 1 / this.weight();
    for (let index = 0; index < this.counts.length; index += 1) {
      this.counts[index] = (this.counts[index] ?? 0) * kept;
    }
    this.total = PRIOR_REQUESTS + this.total * kept;
    this.epoch = this.clock.monotonic();
  }
}

function cellOf(row: number, key: number): number {
  const low = key | 0;
  const high = Math.trunc(key / 4_294_967_296);
  const mixed = Math.imul(low ^ (low >>> 15) ^ high, ROW_FACTORS[row] ?? 1);
  return row * COLUMNS + Math.floor(((mixed ^ (mixed >>> 13)) >>> 0) * UNIT * COLUMNS);
}
