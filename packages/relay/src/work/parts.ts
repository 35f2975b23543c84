/** Where the shared parts of a request's prompt are, and under which text they are found. */
import type { Configuration } from '@jasmineroute/configuration';
import type { Target } from '@jasmineroute/knowledge';
import type { StoredPart } from '@jasmineroute/protocol';
import { fetchMs, isLinkBusy, storeAddress } from '../cache/index.js';
import { UNKNOWN_PARTS } from '../placement/index.js';
import type { PartsView } from '../placement/index.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';

/** A store of kept KV cache. */
export interface StoreInForce {
  /** host:port. */
  readonly address: string;
  readonly configuration: Configuration;
  readonly isLost: boolean;
}

/** Keeps cached blocks apart of a customer that shares with nobody. */
export function saltOf({ customer }: Job): string {
  return customer?.isolated === true ? `customer-${customer.name} ` : '';
}

/**
 * Version of the weights that a target announced. The request names it, so that a target whose weights changed since
 * refuses rather than run it on cache of other weights.
 */
export function versionAt(target: Target, { request, route }: Job): number | undefined {
  return route.hasPrompt && request.prompt !== undefined
    ? target.weights.get(request.prompt.model)
    : undefined;
}

/** Text under which a target finds cached blocks for a request: its weights, and a customer that shares with nobody. */
export function cacheSaltAt(target: Target, job: Job): string {
  return `${saltOf(job)}weights-${versionAt(target, job) ?? 0}`;
}

/** The store that the configuration in force names, and whether it answers; undefined: there is none. */
export function storeInForce({ knowledge }: RelayContext): StoreInForce | undefined {
  const configuration = knowledge.table()?.configuration;
  const address = configuration === undefined ? undefined : storeAddress(configuration);
  if (configuration === undefined || address === undefined) return undefined;
  return { address, configuration, isLost: knowledge.isStoreLost(address) };
}

/** A part that a prompt shares with others, as a target would have it. */
type SharedPart = StoredPart & { readonly tokens: number };

/** The shared parts of a prompt: all but the last, which is its own. */
function sharedPartsAt(target: Target, job: Job): SharedPart[] {
  const { prompt } = job.request;
  if (prompt === undefined) return [];
  const salt = cacheSaltAt(target, job);
  const { model } = prompt;
  return prompt.parts.slice(0, -1).map(({ id, tokens }) => ({ salt, model, part: id, tokens }));
}

/** Tokens of the parts up to the first that `has` denies. */
function tokensUntil(parts: readonly SharedPart[], has: (part: StoredPart) => boolean): number {
  const end = parts.findIndex((part) => !has(part));
  return parts.slice(0, end < 0 ? parts.length : end).reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Where the shared parts of a request are, as seen from one target. */
export function partsView(context: RelayContext, job: Job, target: Target): PartsView {
  const { knowledge, sights } = context;
  const parts = sharedPartsAt(target, job);
  const last = parts.at(-1);
  if (last === undefined) return UNKNOWN_PARTS;
  const isCached = (part: StoredPart): boolean => knowledge.isCached(target.address, part);
  // Blocks are found only with all before them, so the last part stands for all.
  if (isCached(last)) return { place: 'here', cachedTokens: tokensUntil(parts, () => true) };
  const cachedTokens = tokensUntil(parts, isCached);
  const store = storeInForce(context);
  if (store === undefined || store.isLost) return { place: 'nowhere', cachedTokens };
  const isKept = knowledge.isKept(store.address, last);
  if (isKept === undefined) return { place: 'unknown', cachedTokens };
  if (!isKept) return { place: 'nowhere', cachedTokens };
  const tokenMs = fetchMs(store.configuration, job.service, store.address);
  return { place: isLinkBusy(sights.backlog, store.address, tokenMs) ? 'busy' : 'store', cachedTokens };
}

/**
 * Another target that has the shared parts in its cache, the nearest: its link is its own, while all share the store's.
 * Only one with the same weights: what it made under others may stand under the same salt.
 */
export function neighbourWith(
  { knowledge, sights }: RelayContext,
  job: Job,
  target: Target,
): string | undefined {
  const part = sharedPartsAt(target, job).at(-1);
  if (part === undefined || knowledge.isCached(target.address, part)) return undefined;
  const version = versionAt(target, job);
  const having = knowledge.targets
    .ready(job.service.name)
    .filter(
      (other) =>
        other.id !== target.id &&
        versionAt(other, job) === version &&
        knowledge.isCached(other.address, part) &&
        !sights.isAvoided(other.id),
    );
  const near = having.find(({ dataCentre }) => dataCentre === target.dataCentre);
  return (near ?? having[0])?.address;
}
