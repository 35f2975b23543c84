/**
 * The least recomputation that any routing could have had: the same arrivals, replayed against one cache of
 * the size of all caches together, whose blocks every request can use.
 */
import { WEIGHTS_VERSION } from '../deployment/index.js';
import {
  BLOCK_TOKENS,
  BYTES_PER_TOKEN,
  blocksOf,
  PrefixCache,
  renderChat,
  tokenBytes,
} from '../engine/index.js';
import type { PlannedRequest } from '../workload/index.js';

/** What the oracle needs for each request. */
export interface OracleRow {
  readonly id: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Replays the arrivals. */
export function replay(requests: readonly PlannedRequest[], totalBlocks: number): Map<string, OracleRow> {
  const cache = new PrefixCache(totalBlocks, { stored: () => undefined, removed: () => undefined });
  const rows = new Map<string, OracleRow>();
  for (const { id, customer, model, messages } of requests) {
    const bytes = tokenBytes(renderChat(messages, false));
    const namespace = { salt: customer, model, adapter: '', version: WEIGHTS_VERSION };
    const chain = blocksOf(bytes, namespace);
    const promptTokens = bytes.length / BYTES_PER_TOKEN;
    const usable = Math.min(cache.prefix(chain), Math.floor((promptTokens - 1) / BLOCK_TOKENS));
    rows.set(id, { id, promptTokens, cachedTokens: usable * BLOCK_TOKENS });
    for (const block of chain) {
      cache.store(block);
      cache.pin(block);
    }
    for (const block of [...chain].reverse()) cache.unpin(block);
  }
  return rows;
}
