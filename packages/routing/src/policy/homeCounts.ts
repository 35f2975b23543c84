/**
 * How many homes each prefix has.
 *
 * What goes wrong: a prefix with a large part of the traffic overruns one home while others idle, and when the
 * number of homes follows the traffic at once, it goes to and fro, each time warming a cache for nothing.
 * Homes grow at once here, and shrink by one only after the traffic has been well below for a while.
 */
import type { Clock } from '@jasmineroute/core';

/** Room above the fair share that each home has. */
const HEADROOM = 1.25;

/** Homes may shrink when this many fewer would do. */
const SLACK = 0.75;

/** Time between two steps down. */
const SHRINK_MS = 5_000;

/** Prefixes with more than one home that are remembered. */
const MAX_PREFIXES = 4_096;

interface HomeCount {
  count: number;
  /** When the traffic last asked for this many, or the count last shrank. */
  since: number;
}

/** Homes by prefix; prefixes with one home take no memory. */
export class HomeCounts {
  private readonly counts = new Map<number, HomeCount>();

  constructor(private readonly clock: Clock) {}

  /**
   * Homes of a prefix now.
   * @param share part of the traffic that has the prefix, 0 to 1.
   * @param targets how many targets there are.
   */
  homes(key: number, share: number, targets: number): number {
    const wanted = Math.min(targets, Math.max(1, share * targets * HEADROOM));
    const known = this.counts.get(key);
    if (known === undefined) return this.begin(key, Math.ceil(wanted));
    this.adjust(known, wanted);
    known.count = Math.min(known.count, targets);
    if (known.count <= 1) this.counts.delete(key);
    return known.count;
  }

  private begin(key: number, count: number): number {
    if (count <= 1) return 1;
    if (this.counts.size >= MAX_PREFIXES) this.forgetOldest();
    this.counts.set(key, { count, since: this.clock.monotonic() });
    return count;
  }

  private adjust(known: HomeCount, wanted: number): void {
    const now = this.clock.monotonic();
    if (wanted > known.count - 1 - SLACK) known.since = now;
    if (wanted > known.count) known.count = Math.ceil(wanted);
    if (now - known.since < SHRINK_MS) return;
    known.count -= 1;
    known.since = now;
  }

  private forgetOldest(): void {
    const [oldest] = this.counts.keys();
    if (oldest !== undefined) this.counts.delete(oldest);
  }
}
