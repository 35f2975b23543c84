/** The form in which engines and stores hand blocks of KV cache to each other. */
import * as z from 'zod';
import type { Block } from './cache.js';
import { BLOCK_TOKENS } from './prompt.js';

const storedRun = z.object({
  parent: z.string().nullable(),
  hashes: z.array(z.string()),
  tokens: z.array(z.number()),
  salt: z.string(),
  model: z.string(),
  adapter: z.string(),
  version: z.string(),
});

const exported = z.object({ events: z.array(storedRun) });

/** Blocks of an export, parents first. */
export function blocksOfExport(body: unknown): Block[] {
  return exported.parse(body).events.flatMap(({ parent, hashes, tokens, salt, model, adapter, version }) =>
    hashes.map((blockHash, index) => ({
      hash: blockHash,
      parent: index === 0 ? parent : (hashes[index - 1] ?? null),
      namespace: { salt, model, adapter, version },
      tokens: tokens.slice(index * BLOCK_TOKENS, (index + 1) * BLOCK_TOKENS),
    })),
  );
}
