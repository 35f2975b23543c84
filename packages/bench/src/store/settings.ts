/** Settings of the store stand-in: weights at a limited rate, and kept KV cache. */
import * as z from 'zod';

/** One field for each flag. */
export const storeSettings = z.object({
  name: z.string().min(1).default('store').describe('name in reports'),
  port: z.coerce.number().int().min(0).max(65_535).default(0).describe('port on 127.0.0.1, 0 for a free one'),
  loadMs: z.coerce.number().nonnegative().default(500).describe('time to hand out one set of weights'),
  concurrent: z.coerce.number().int().positive().default(1).describe('sets handed out at once; others wait'),
  blocks: z.coerce.number().int().positive().default(100_000).describe('blocks of KV cache that are kept'),
  kvBlockMs: z.coerce.number().nonnegative().default(0.25).describe('time to export one block'),
});

/** Checked settings. */
export type StoreSettings = z.output<typeof storeSettings>;
