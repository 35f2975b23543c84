/** What caches keep, of stores and of targets, and what changed of it. */
import { create } from '@bufbuild/protobuf';
import { KeptChangesSchema } from '../gen/jasmineroute/control_pb.js';
import type { KeptChanges } from '../gen/jasmineroute/control_pb.js';
import type { CacheNews } from './cacheNews.js';
import { partKey } from './partKey.js';

/** Changes that are remembered: a cache that turns over a million tokens in 10 s drops some hundred parts a second. */
const MOST_CHANGES = 8_192;

interface Change {
  readonly key: number;
  readonly isKept: boolean;
}

/** Keys of kept parts, with numbered changes so that each follower is told what it lacks. */
export class KeptParts {
  private readonly byAddress = new Map<string, Set<number>>();
  private changes: Change[] = [];
  /** Place of the oldest change that is remembered. */
  private first = 1;

  /** Place of the newest change. */
  place(): number {
    return this.first + this.changes.length - 1;
  }

  /**
   * Takes what a cache tells. Returns the news that the next call goes on from; undefined: from the beginning, as it
   * restarted. What can't be vouched for is forgotten.
   */
  take(address: string, news: CacheNews, last: CacheNews | undefined): CacheNews | undefined {
    const isRestarted = last !== undefined && last.incarnation !== news.incarnation;
    if (isRestarted || news.hasGap) this.forget(address);
    if (isRestarted) return undefined;
    for (const { isKept, ...part } of news.events) this.note(address, partKey(address, part), isKept);
    return news;
  }

  /** Takes changes that another process made out at a cache. */
  apply(address: string, { whole, dropped, added }: KeptChanges): void {
    if (whole) {
      const left = new Set(added);
      for (const key of this.keptAt(address)) if (!left.has(key)) this.note(address, key, false);
    }
    for (const key of dropped) this.note(address, key, false);
    for (const key of added) this.note(address, key, true);
  }

  /** A cache has more, or less, of a part than before. What it has in part only counts as dropped. */
  note(address: string, key: number, isKept: boolean): void {
    const kept = this.keptAt(address);
    if (kept.has(key) === isKept) return;
    if (isKept) kept.add(key);
    else kept.delete(key);
    // Told by another one too: a target's process that moves on tells the next control instance before the last forgets it.
    if (this.isKeptElsewhere(kept, key)) return;
    this.changes.push({ key, isKept });
    if (this.changes.length <= MOST_CHANGES) return;
    this.first += MOST_CHANGES / 2;
    this.changes = this.changes.slice(MOST_CHANGES / 2);
  }

  /** Nothing is known of a cache any more. */
  forget(address: string): void {
    for (const key of this.keptAt(address)) this.note(address, key, false);
  }

  /** What a follower lacks that was told up to `place`; 0: nothing was told. */
  since(place: number): KeptChanges {
    const isWhole = place === 0 || place < this.first - 1;
    if (isWhole) {
      const added = [...new Set([...this.byAddress.values()].flatMap((kept) => [...kept]))];
      return create(KeptChangesSchema, { whole: true, added });
    }
    const last = new Map<number, boolean>();
    for (const { key, isKept } of this.changes.slice(place + 1 - this.first)) last.set(key, isKept);
    const keysOf = (wanted: boolean): number[] =>
      [...last].filter(([, isKept]) => isKept === wanted).map(([key]) => key);
    return create(KeptChangesSchema, { dropped: keysOf(false), added: keysOf(true) });
  }

  private isKeptElsewhere(kept: ReadonlySet<number>, key: number): boolean {
    return [...this.byAddress.values()].some((other) => other !== kept && other.has(key));
  }

  private keptAt(address: string): Set<number> {
    const known = this.byAddress.get(address);
    if (known !== undefined) return known;
    const made = new Set<number>();
    this.byAddress.set(address, made);
    return made;
  }
}
