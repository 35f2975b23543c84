/** What is told some times a second, and is old after a second: loads of targets, work of entries. */
import type { Clock } from '@jasmineroute/core';

/** Keys that are remembered; the oldest are forgotten. */
const MOST_KEYS = 10_000;

interface Entry<Told> {
  readonly told: Told;
  readonly place: number;
  readonly isOwn: boolean;
  readonly at: number;
}

/** The last that was told under each key. Nothing of it must last. */
export class RecentBoard<Told> {
  private readonly entries = new Map<string, Entry<Told>>();
  private readonly listeners = new Set<() => void>();
  private lastPlace = 0;

  constructor(private readonly clock: Clock) {}

  /** Place of the newest. */
  place(): number {
    return this.lastPlace;
  }

  /** What was told after a place, to this instance and to others. */
  since(place: number): Told[] {
    return this.after(place).map(({ told }) => told);
  }

  /** What was told after a place to this instance. */
  ownSince(place: number): Told[] {
    return this.after(place)
      .filter(({ isOwn }) => isOwn)
      .map(({ told }) => told);
  }

  /** What was told within the last `ms` milliseconds. */
  within(ms: number): Told[] {
    const since = this.clock.monotonic() - ms;
    return [...this.entries.values()].filter(({ at }) => at > since).map(({ told }) => told);
  }

  /** Whether something was told under a key within the last `ms` milliseconds. */
  isRecent(key: string, ms: number): boolean {
    const entry = this.entries.get(key);
    return entry !== undefined && this.clock.monotonic() - entry.at < ms;
  }

  /** Takes what was told; `isOwn`: to this instance, and not to another one that passes it on. */
  take(key: string, told: Told, isOwn = true): void {
    this.lastPlace += 1;
    this.entries.delete(key);
    this.entries.set(key, { told, place: this.lastPlace, isOwn, at: this.clock.monotonic() });
    const [oldest] = this.entries.keys();
    if (this.entries.size > MOST_KEYS && oldest !== undefined) this.entries.delete(oldest);
    for (const listener of this.listeners) listener();
  }

  /** Calls back when something was told. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private after(place: number): Entry<Told>[] {
    if (place === this.lastPlace) return [];
    return [...this.entries.values()].filter((entry) => entry.place > place);
  }
}
