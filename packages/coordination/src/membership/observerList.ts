/** Times of the last contact with the other observers. */
import type { ObserverAge, Source } from './member.js';

interface Observer {
  incarnation: bigint;
  /** Time of the last contact with this incarnation. */
  lastContactAt: number;
  /** Time of the last contact with the previous incarnation. */
  previousLastContactAt?: number;
}

/** Observers by name. */
export class ObserverList {
  private readonly observers = new Map<string, Observer>();

  /** Records a contact with an observer. */
  recordContact(name: string, incarnation: bigint, at: number): void {
    const known = this.observers.get(name);
    if (known === undefined) {
      this.observers.set(name, { incarnation, lastContactAt: at });
      return;
    }
    if (incarnation < known.incarnation) return;
    if (incarnation > known.incarnation) {
      known.previousLastContactAt = known.lastContactAt;
      known.incarnation = incarnation;
    }
    known.lastContactAt = Math.max(known.lastContactAt, at);
  }

  /**
   * Time until which the source of a report confirmed it. An observer that restarted has lost the members that it
   * monitored before, so later contacts with it confirm nothing about them.
   */
  lastContactWithSource(source: Source): number | undefined {
    const known = this.observers.get(source.observer);
    if (known === undefined) return undefined;
    return known.incarnation > source.incarnation ? known.previousLastContactAt : known.lastContactAt;
  }

  /** Milliseconds since the last contact with each observer. */
  ages(now: number): ObserverAge[] {
    return [...this.observers].map(([name, { incarnation, lastContactAt }]) => ({
      name,
      incarnation,
      ageMs: Math.max(0, now - lastContactAt),
    }));
  }
}
