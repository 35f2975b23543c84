/** What is told some times a second, and is old after a second: loads of targets, work of entries. */
import type { Clock } from '@jasmineroute/core';

/** Keys that are remembered; the oldest are forgotten. */
const MOST_KEYS = 10_000;

interface Entry<Told> {
  readonly told: Told;
  readonly place: number;
}

/** The last that was told under each key. Nothing of it must last. */
export class RecentBoard<Told> {
  private readonly entries = new Map<string, Entry<Told>>();
  private readonly listeners = new Set<() => void>();
  private lastPlace = 0;
  private gathering = false;

  /**
   * @param gatherMs what is told within this time goes to followers as one event.
   * @param keysAtOnce number of keys for each of which so long is waited once more: with many tellers, each of whom tells
   * less often, an event for each of them would go to all.
   */
  constructor(
    private readonly clock: Clock,
    private readonly gatherMs: number,
    private readonly keysAtOnce = Number.POSITIVE_INFINITY,
  ) {}

  /** Place of the newest. */
  place(): number {
    return this.lastPlace;
  }

  /** What was told after a place. */
  since(place: number): Told[] {
    if (place === this.lastPlace) return [];
    return [...this.entries.values()].filter((entry) => entry.place > place).map(({ told }) => told);
  }

  /** Takes what was told; followers hear of it a moment later, together with others. */
  take(key: string, told: Told): void {
    this.lastPlace += 1;
    this.entries.delete(key);
    this.entries.set(key, { told, place: this.lastPlace });
    const [oldest] = this.entries.keys();
    if (this.entries.size > MOST_KEYS && oldest !== undefined) this.entries.delete(oldest);
    if (this.gathering) return;
    this.gathering = true;
    const times = Math.max(1, Math.ceil(this.entries.size / this.keysAtOnce));
    this.clock.after(this.gatherMs * times, () => {
      this.gathering = false;
      for (const listener of this.listeners) listener();
    });
  }

  /** Calls back when something was gathered. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
