/** Decides which prompt parts are copied to a KV cache store. */
import type { Clock } from '@jasmineroute/core';
import type { StoredPart } from '@jasmineroute/protocol';
import { LRUCache } from 'lru-cache';
import type { PromptOutline } from '../dialect/index.js';

/**
 * Interval at which a shared part is copied again while there is no report of the store's contents, milliseconds. The
 * store evicts the least recently used parts; at 95,000 tokens of new parts per second, a store of a million tokens
 * turns over in 11 s.
 */
const RECOPY_INTERVAL_MS = 8_000;

/**
 * Time after which a copy that the store still lacks is repeated, milliseconds: a request may wait a second for its
 * turn, and the store's report arrives some hundred milliseconds later.
 */
const COPY_REPORT_DELAY_MS = 1_500;

/** Maximum number of shared parts that are tracked, counted per customer; 100 bytes each. */
const MAX_TRACKED_PARTS = 20_000;

/** Whether a store has a part; undefined if there is no report. */
export type StoredLookup = (store: string, part: StoredPart) => boolean | undefined;

/**
 * Decides which requests copy the parts that they read to the store. Only parts that the store lacks are copied: a
 * copy includes the request's own part, which no other request uses, and evicts parts that others do use. When eight
 * entries each copied a part every 8 s, nearly every request copied, and the store turned over before a seventh of
 * the shared parts were requested again.
 */
export class CopySchedule {
  /** Monotonic time of the last requested copy, by part. */
  private readonly copiedAt = new LRUCache<string, number>({ max: MAX_TRACKED_PARTS });

  constructor(
    private readonly clock: Clock,
    private readonly isStored: StoredLookup,
  ) {}

  /** Whether a prompt's parts should be copied now; `salt` as it is sent to the target. */
  isDue(store: string, { model, parts }: PromptOutline, salt: string): boolean {
    const shared = parts.length < 2 ? undefined : parts.at(-2);
    if (shared === undefined) return false;
    const stored = this.isStored(store, { salt, model, part: shared.id });
    if (stored === true) return false;
    const key = `${salt} ${model} ${shared.id}`;
    const now = this.clock.monotonic();
    const elapsedMs = now - (this.copiedAt.get(key) ?? Number.NEGATIVE_INFINITY);
    if (elapsedMs < (stored === false ? COPY_REPORT_DELAY_MS : RECOPY_INTERVAL_MS)) return false;
    this.copiedAt.set(key, now);
    return true;
  }
}
