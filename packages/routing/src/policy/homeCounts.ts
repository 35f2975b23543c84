/**
 * Number of homes of each prefix.
 *
 * A prefix with a large share of the traffic would overload a single home while other targets idle. If the number of
 * homes followed the traffic in both directions at once, it would flap, and each new home would fill its cache for
 * nothing. The number therefore grows at once, and shrinks one by one after the traffic has been well below for a while.
 */
import type { Clock } from '@jasmineroute/core';

/** Capacity of the homes relative to the traffic of the prefix. */
const HEADROOM = 1.25;

/** The number shrinks by one only when the traffic needs this much less than the smaller number. */
const SHRINK_MARGIN = 0.75;

/** Minimum time between two decrements, and from the last time that the homes were needed. */
const SHRINK_INTERVAL_MS = 5_000;

/** Maximum number of prefixes with more than one home. */
const MAX_PREFIXES = 4_096;

interface HomeCount {
  count: number;
  /** When the traffic last needed this many, or the count was last reduced. */
  neededAt: number;
}

/** Number of homes by prefix. Prefixes with one home are not stored. */
export class HomeCounts {
  private readonly counts = new Map<number, HomeCount>();

  constructor(private readonly clock: Clock) {}

  /**
   * Current number of homes of a prefix.
   * @param share share of the traffic that has the prefix, 0 to 1.
   * @param targets number of targets.
   */
  homes(key: number, share: number, targets: number): number {
    const wanted = Math.min(targets, Math.max(1, share * targets * HEADROOM));
    const homeCount = this.counts.get(key);
    if (homeCount === undefined) return this.add(key, Math.ceil(wanted));
    this.adjust(homeCount, wanted);
    homeCount.count = Math.min(homeCount.count, targets);
    if (homeCount.count <= 1) this.counts.delete(key);
    return homeCount.count;
  }

  private add(key: number, count: number): number {
    if (count <= 1) return 1;
    if (this.counts.size >= MAX_PREFIXES) this.forgetOldest();
    this.counts.set(key, { count, neededAt: this.clock.monotonic() });
    return count;
  }

  private adjust(homeCount: HomeCount, wanted: number): void {
    const now = this.clock.monotonic();
    if (wanted > homeCount.count - 1 - SHRINK_MARGIN) homeCount.neededAt = now;
    if (wanted > homeCount.count) homeCount.count = Math.ceil(wanted);
    if (now - homeCount.neededAt < SHRINK_INTERVAL_MS) return;
    homeCount.count -= 1;
    homeCount.neededAt = now;
  }

  private forgetOldest(): void {
    const [oldest] = this.counts.keys();
    if (oldest !== undefined) this.counts.delete(oldest);
  }
}
