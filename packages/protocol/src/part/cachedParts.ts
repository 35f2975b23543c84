/** Prompt parts in the caches of stores and targets, and the changes to them. */
import { create } from '@bufbuild/protobuf';
import { KeptChangesSchema } from '../gen/jasmineroute/control_pb.js';
import type { KeptChanges } from '../gen/jasmineroute/control_pb.js';
import type { CacheUpdate } from './cacheUpdate.js';
import { partKey } from './partKey.js';

/** Most changes that are retained. A cache that replaces a million tokens in 10 s drops some hundred parts a second. */
const MAX_CHANGES = 8_192;

interface Change {
  readonly key: number;
  readonly isKept: boolean;
}

/** Keys of cached parts, with numbered changes so that each follower is sent only the changes since its position. */
export class CachedParts {
  private readonly byAddress = new Map<string, Set<number>>();
  private changes: Change[] = [];
  /** Position of the oldest retained change. */
  private firstPosition = 1;

  /** Position of the newest change. */
  position(): number {
    return this.firstPosition + this.changes.length - 1;
  }

  /**
   * Applies an update from a cache. Returns the update from which the next call continues; undefined: from the beginning,
   * because the cache has restarted. Parts that may have changed without an event are removed.
   */
  applyUpdate(
    address: string,
    update: CacheUpdate,
    lastUpdate: CacheUpdate | undefined,
  ): CacheUpdate | undefined {
    const isRestarted = lastUpdate !== undefined && lastUpdate.incarnation !== update.incarnation;
    if (isRestarted || update.hasGap) this.removeAll(address);
    if (isRestarted) return undefined;
    for (const { isKept, ...part } of update.events)
      this.recordChange(address, partKey(address, part), isKept);
    return update;
  }

  /** Applies the changes to a cache that another process reported. */
  applyChanges(address: string, { whole, dropped, added }: KeptChanges): void {
    if (whole) {
      const remaining = new Set(added);
      for (const key of this.keptAt(address)) if (!remaining.has(key)) this.recordChange(address, key, false);
    }
    for (const key of dropped) this.recordChange(address, key, false);
    for (const key of added) this.recordChange(address, key, true);
  }

  /** Records that a cache has gained or lost blocks of a part. A part with missing blocks counts as dropped. */
  recordChange(address: string, key: number, isKept: boolean): void {
    const kept = this.keptAt(address);
    if (kept.has(key) === isKept) return;
    if (isKept) kept.add(key);
    else kept.delete(key);
    // Also known at another address: a target's process that changes its control instance reports to the new one before the
    // old one removes it.
    if (this.isKeptElsewhere(kept, key)) return;
    this.changes.push({ key, isKept });
    if (this.changes.length <= MAX_CHANGES) return;
    this.firstPosition += MAX_CHANGES / 2;
    this.changes = this.changes.slice(MAX_CHANGES / 2);
  }

  /** Removes all parts of a cache. */
  removeAll(address: string): void {
    for (const key of this.keptAt(address)) this.recordChange(address, key, false);
  }

  /** Changes after a follower's position; 0, or a position that is no longer retained: all parts. */
  changesSince(position: number): KeptChanges {
    const isWhole = position === 0 || position < this.firstPosition - 1;
    if (isWhole) {
      const added = [...new Set([...this.byAddress.values()].flatMap((kept) => [...kept]))];
      return create(KeptChangesSchema, { whole: true, added });
    }
    const last = new Map<number, boolean>();
    for (const { key, isKept } of this.changes.slice(position + 1 - this.firstPosition))
      last.set(key, isKept);
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
    const created = new Set<number>();
    this.byAddress.set(address, created);
    return created;
  }
}
