/** Schemas of the messages of docs/engine-protocol.md that the adapter reads. */
import * as z from 'zod';
import type { CacheEvent } from '../port/index.js';

const versionedName = z.object({ name: z.string(), version: z.string() });

/** Answer of GET /health. */
export const healthBody = z.object({
  incarnation: z.string().min(1),
  ready: z.boolean().default(true),
  capacity: z.number().int().positive().default(1),
  role: z.string().default(''),
  software_version: z.string().default(''),
  models: z
    .array(z.object({ model: z.string(), version: z.string(), adapters: z.array(versionedName).default([]) }))
    .default([]),
});

/** Answer of GET /load. */
export const loadBody = z.object({
  incarnation: z.string(),
  running: z.number(),
  queued: z.number(),
  queued_tokens: z.number(),
});

const position = { incarnation: z.string(), sequence: z.number().int().nonnegative() };

const storedEvent = z
  .object({
    type: z.literal('stored'),
    ...position,
    parent: z.string().nullable().default(null),
    hashes: z.array(z.string()),
    tokens: z.array(z.number().int()),
    block_tokens: z.number().int().positive(),
    salt: z.string().nullish(),
    model: z.string(),
    adapter: z.string().nullish(),
    version: z.string(),
  })
  .transform((event): CacheEvent => {
    const { block_tokens: blockTokens, salt, adapter, ...rest } = event;
    return { ...rest, blockTokens, salt: salt ?? '', adapter: adapter ?? '' };
  });

const removedEvent = z.object({ type: z.literal('removed'), ...position, hashes: z.array(z.string()) });
const clearedEvent = z.object({ type: z.literal('cleared'), ...position });

/** One event of GET /kv_events. */
export const cacheEvent = z.union([storedEvent, removedEvent, clearedEvent]);

/** Answer of GET /kv_snapshot. */
export const snapshotBody = z.object({ ...position, events: z.array(cacheEvent) });

/** Answer of POST /abort_request. */
export const abortBody = z.object({ state: z.enum(['unknown', 'cancelled', 'done']) });

/** Token counts in an answer. */
export const usageBody = z.object({
  usage: z.object({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number().nullish() }).nullish(),
  }),
});
