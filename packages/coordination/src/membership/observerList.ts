/** When the other observers were heard. */
import type { ObserverAge, Source } from './member.js';

interface Observer {
  incarnation: bigint;
  /** Time at which this incarnation was last heard. */
  heardAt: number;
  /** Time at which an older incarnation was last heard. */
  olderHeardAt?: number;
}

/** Observers by name. */
export class ObserverList {
  private readonly observers = new Map<string, Observer>();

  /** Takes that an observer was heard at a time. */
  heard(name: string, incarnation: bigint, at: number): void {
    const known = this.observers.get(name);
    if (known === undefined) {
      this.observers.set(name, { incarnation, heardAt: at });
      return;
    }
    if (incarnation < known.incarnation) return;
    if (incarnation > known.incarnation) {
      known.olderHeardAt = known.heardAt;
      known.incarnation = incarnation;
    }
    known.heardAt = Math.max(known.heardAt, at);
  }

  /**
   * Time until which the source of a report stood by it. An observer that restarted knows nothing of the members
   * that it heard before: it does not stand by them, however well it is heard now.
   */
  stoodBy(source: Source): number | undefined {
    const known = this.observers.get(source.observer);
    if (known === undefined) return undefined;
    return known.incarnation > source.incarnation ? known.olderHeardAt : known.heardAt;
  }

  /** Milliseconds since each was heard. */
  ages(now: number): ObserverAge[] {
    return [...this.observers].map(([name, { incarnation, heardAt }]) => ({
      name,
      incarnation,
      ageMs: Math.max(0, now - heardAt),
    }));
  }
}
