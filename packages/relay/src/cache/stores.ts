/** Assigns a prompt's shared parts to one of the KV cache stores. */
import type { Configuration } from '@jasmineroute/configuration';
import { isHostPort } from '@jasmineroute/core';
import { homesOf, textKey } from '@jasmineroute/routing';
import type { PromptOutline } from '../dialect/index.js';

/** A store that the configuration names. */
export interface Store {
  /** host:port. */
  readonly address: string;
  /** Capacity in tokens; equal for all stores without a configured capacity. */
  readonly cacheTokens: number;
}

/** Capacity of a store without a configured one, tokens. */
const DEFAULT_STORE_TOKENS = 1_000_000;

/** The stores that the configuration names and that can be called: targets would wait for any other, or refuse its name. */
export function storesOf({ services }: Configuration): Store[] {
  return services.flatMap(({ storeAddress: address, cacheTokens = DEFAULT_STORE_TOKENS }) =>
    address !== undefined && isHostPort(address) ? [{ address, cacheTokens }] : [],
  );
}

/**
 * The store for a prompt, among those that are reachable. Rendezvous hashing of the last shared part lets all entries
 * choose the same store, and the loss of a store moves only the prompts assigned to it. With a single store for all
 * prompts, new parts evicted the older ones before they were requested again, so every prompt missed and was copied
 * again. `salt` separates customers.
 */
export function storeFor(prompt: PromptOutline, salt: string, stores: readonly Store[]): Store | undefined {
  const last = prompt.parts.at(-2);
  if (last === undefined) return undefined;
  const nodes = stores.map((store) => ({ name: store.address, capacity: store.cacheTokens, store }));
  return homesOf(textKey(`${salt} ${prompt.model} ${last.id}`), nodes, 1)[0]?.store;
}
