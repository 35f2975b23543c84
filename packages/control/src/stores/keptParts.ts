/** What stores of kept KV cache keep, and what changed of it. */
import { create } from '@bufbuild/protobuf';
import { controlMessage, partKey } from '@jasmineroute/protocol';
import type { StoredPart } from '@jasmineroute/protocol';

/** Changes that are remembered: a store that turns over a million tokens in 10 s drops some hundred parts a second. */
const MOST_CHANGES = 8_192;

interface Change {
  readonly key: number;
  readonly isKept: boolean;
}

/** Keys of kept parts, with numbered changes so that each follower is told what it lacks. */
export class KeptParts {
  private readonly byStore = new Map<string, Set<number>>();
  private changes: Change[] = [];
  /** Place of the oldest change that is remembered. */
  private first = 1;

  /** Place of the newest change. */
  place(): number {
    return this.first + this.changes.length - 1;
  }

  /** A store has more, or less, of a part than before. What it has in part only counts as dropped. */
  note(store: string, part: StoredPart, isKept: boolean): void {
    const key = partKey(store, part);
    const kept = this.keptAt(store);
    if (kept.has(key) === isKept) return;
    if (isKept) kept.add(key);
    else kept.delete(key);
    this.changes.push({ key, isKept });
    if (this.changes.length <= MOST_CHANGES) return;
    this.first += MOST_CHANGES / 2;
    this.changes = this.changes.slice(MOST_CHANGES / 2);
  }

  /** Nothing is known of a store: it restarted, or its changes have a gap. */
  forget(store: string): void {
    this.first = this.place() + 2;
    this.changes = [];
    this.byStore.delete(store);
  }

  /** What a follower lacks that was told up to `place`; 0: nothing was told. */
  since(place: number): controlMessage.KeptChanges {
    const isWhole = place === 0 || place < this.first - 1;
    if (isWhole) {
      const added = [...this.byStore.values()].flatMap((kept) => [...kept]);
      return create(controlMessage.KeptChangesSchema, { whole: true, added });
    }
    const last = new Map<number, boolean>();
    for (const { key, isKept } of this.changes.slice(place + 1 - this.first)) last.set(key, isKept);
    const keysOf = (wanted: boolean): number[] =>
      [...last].filter(([, isKept]) => isKept === wanted).map(([key]) => key);
    return create(controlMessage.KeptChangesSchema, { dropped: keysOf(false), added: keysOf(true) });
  }

  private keptAt(store: string): Set<number> {
    const known = this.byStore.get(store);
    if (known !== undefined) return known;
    const made = new Set<number>();
    this.byStore.set(store, made);
    return made;
  }
}
