/** Which store of kept KV cache has a prompt's shared parts. */
import type { Configuration } from '@jasmineroute/configuration';
import { homesOf, textKey } from '@jasmineroute/routing';
import type { PromptOutline } from '../dialect/index.js';

/** A store that a configuration names. */
export interface Store {
  /** host:port. */
  readonly address: string;
  /** Tokens that it has room for; where the configuration does not say, all count as equal. */
  readonly cacheTokens: number;
}

/** Room that a store counts with for which the configuration names none, tokens. */
const DEFAULT_CACHE_TOKENS = 1_000_000;

/** The stores that a configuration names. */
export function storesOf({ services }: Configuration): Store[] {
  return services.flatMap(({ storeAddress: address, cacheTokens = DEFAULT_CACHE_TOKENS }) =>
    address === undefined ? [] : [{ address, cacheTokens }],
  );
}

/**
 * The store for a prompt, of those that answer: by rendezvous hashing of the last part that it shares, so that all entries
 * name the same and the loss of a store moves only its own prompts. With one store for all, what came in turned it over
 * before a part was asked for again: every prompt missed and was copied again. `salt` keeps customers apart.
 */
export function storeFor(prompt: PromptOutline, salt: string, stores: readonly Store[]): Store | undefined {
  const last = prompt.parts.at(-2);
  if (last === undefined) return undefined;
  const named = stores.map((store) => ({ name: store.address, capacity: store.cacheTokens, store }));
  return homesOf(textKey(`${salt} ${prompt.model} ${last.id}`), named, 1)[0]?.store;
}
