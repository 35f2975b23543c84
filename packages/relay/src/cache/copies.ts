/** What is copied to the store of kept KV cache. */
import type { Clock } from '@jasmineroute/core';
import type { StoredPart } from '@jasmineroute/protocol';
import { LRUCache } from 'lru-cache';
import type { PromptOutline } from '../dialect/index.js';

/**
 * Time after which a shared part is copied to the store again while nobody tells what the store keeps, milliseconds. The
 * store drops what was used least recently; at 95,000 tokens a second of new parts, a store of a million tokens turns
 * over in 11 s.
 */
const COPY_LASTS_MS = 8_000;

/**
 * Time after which a copy that the store still lacks is made again, milliseconds: a request may wait a second for its
 * turn, and the store's news comes some hundred ms later.
 */
const COPY_SHOWS_MS = 1_500;

/** Shared parts that are remembered, some for each customer; 100 bytes each. */
const MOST_PARTS = 20_000;

/** Whether a store keeps a part; undefined while nobody tells. */
export type KeptLookup = (store: string, part: StoredPart) => boolean | undefined;

/**
 * Decides which requests copy to the store what they read. Only a part that the store lacks is copied: a copy holds the
 * request's own part too, which nobody else asks for, and pushes out what others do. With eight entries that each copied
 * a part every 8 s, nearly every request copied, and the store turned over before a seventh of the shared parts were asked
 * for again.
 */
export class Copies {
  /** Monotonic time at which a copy was asked for last, by part. */
  private readonly copiedAt = new LRUCache<string, number>({ max: MOST_PARTS });

  constructor(
    private readonly clock: Clock,
    private readonly isKept: KeptLookup,
  ) {}

  /** Whether a prompt's parts are to be copied now; `salt` as the target gets it. */
  isDue(store: string, { model, parts }: PromptOutline, salt: string): boolean {
    const shared = parts.length < 2 ? undefined : parts.at(-2);
    if (shared === undefined) return false;
    const isKept = this.isKept(store, { salt, model, part: shared.id });
    if (isKept === true) return false;
    const key = `${salt} ${model} ${shared.id}`;
    const now = this.clock.monotonic();
    const sinceMs = now - (this.copiedAt.get(key) ?? Number.NEGATIVE_INFINITY);
    if (sinceMs < (isKept === false ? COPY_SHOWS_MS : COPY_LASTS_MS)) return false;
    this.copiedAt.set(key, now);
    return true;
  }
}
