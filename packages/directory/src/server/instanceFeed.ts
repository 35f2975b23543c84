/** Changes of instances for any number of watchers, each with its own place. */
import type { Instance } from '../view/index.js';
import type { InstanceSource } from './source.js';

/** Changes that are held for watchers that lag; one that lags more gets all. */
const HELD_CHANGES = 8_192;

/** What changed after a place. */
export interface InstanceChanges {
  /** Where to go on from. */
  readonly place: number;
  readonly changed: readonly Instance[];
  readonly removed: readonly string[];
  /** `changed` is all there is. */
  readonly complete: boolean;
}

/** A bounded log of the names that changed; what they are now is looked up when it is read. */
export class InstanceFeed {
  private names: string[] = [];
  private first = 0;

  constructor(private readonly source: InstanceSource) {
    source.onChange((names) => {
      this.names.push(...names);
      this.cut();
    });
  }

  /** Place after the newest change. */
  end(): number {
    return this.first + this.names.length;
  }

  /** All instances. */
  all(): InstanceChanges {
    return { place: this.end(), changed: [...this.source.current().values()], removed: [], complete: true };
  }

  /** What changed after `place`. */
  since(place: number): InstanceChanges {
    if (place < this.first) return this.all();
    const current = this.source.current();
    const changed: Instance[] = [];
    const removed: string[] = [];
    for (const name of new Set(this.names.slice(place - this.first))) {
      const instance = current.get(name);
      if (instance === undefined) removed.push(name);
      else changed.push(instance);
    }
    return { place: this.end(), changed, removed, complete: false };
  }

  private cut(): void {
    if (this.names.length < 2 * HELD_CHANGES) return;
    const excess = this.names.length - HELD_CHANGES;
    this.names = this.names.slice(excess);
    this.first += excess;
  }
}
