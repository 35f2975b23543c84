/** Loads of targets as the processes beside them tell it. */
import type { Clock } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';

/** Loads told within this time go to followers as one event, milliseconds. */
const GATHER_MS = 150;

/** Targets that are remembered; the oldest are forgotten. */
const MOST_TARGETS = 10_000;

interface Entry {
  readonly load: controlMessage.TargetLoad;
  readonly place: number;
}

/** The last load of each target. Nothing of it must last: it is old after a second. */
export class LoadBoard {
  private readonly entries = new Map<string, Entry>();
  private readonly listeners = new Set<() => void>();
  private lastPlace = 0;
  private gathering = false;

  constructor(private readonly clock: Clock) {}

  /** Place of the newest load. */
  place(): number {
    return this.lastPlace;
  }

  /** Loads told after a place. */
  since(place: number): controlMessage.TargetLoad[] {
    if (place === this.lastPlace) return [];
    return [...this.entries.values()].filter((entry) => entry.place > place).map(({ load }) => load);
  }

  /** Takes a target's load; followers hear of it a moment later, together with others. */
  take(load: controlMessage.TargetLoad): void {
    this.lastPlace += 1;
    this.entries.delete(load.targetId);
    this.entries.set(load.targetId, { load, place: this.lastPlace });
    const [oldest] = this.entries.keys();
    if (this.entries.size > MOST_TARGETS && oldest !== undefined) this.entries.delete(oldest);
    if (this.gathering) return;
    this.gathering = true;
    this.clock.after(GATHER_MS, () => {
      this.gathering = false;
      for (const listener of this.listeners) listener();
    });
  }

  /** Calls back when loads were gathered. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
