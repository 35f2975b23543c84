/** Where the shared parts of a request's prompt are, and under which text they are found. */
import type { Configuration } from '@jasmineroute/configuration';
import type { Target } from '@jasmineroute/knowledge';
import type { StoredPart } from '@jasmineroute/protocol';
import { tokenFetchMs, isLinkBusy, linkWaitMs, sourceOf, storeFor, storesOf } from '../cache/index.js';
import type { PartHolders, Source } from '../cache/index.js';
import { UNKNOWN_AVAILABILITY } from '../placement/index.js';
import type { PartsAvailability } from '../placement/index.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';

/** A store of kept KV cache. */
export interface StoreInForce {
  /** host:port. */
  readonly address: string;
  readonly configuration: Configuration;
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

/** The store for a request's shared parts, of those that answer; undefined: there is none, or it shares nothing. */
export function storeInForce({ knowledge }: RelayContext, job: Job): StoreInForce | undefined {
  const configuration = knowledge.table()?.configuration;
  const { prompt } = job.request;
  if (configuration === undefined || prompt === undefined) return undefined;
  const stores = storesOf(configuration).filter(({ address }) => !knowledge.isStoreLost(address));
  const store = storeFor(prompt, saltOf(job), stores);
  return store && { address: store.address, configuration };
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

/**
 * Tokens of the parts up to the last that `has` confirms. A cache finds a part only with all before it, and drops what was
 * used least recently, so whoever has a part has those before it. What nobody told says nothing: after a restart of
 * control only the newest few thousand events of a cache are known, and the parts that all prompts begin with came before.
 */
function tokensUpTo(parts: readonly SharedPart[], has: (part: StoredPart) => boolean): number {
  const end = parts.findLastIndex((part) => has(part));
  return parts.slice(0, end + 1).reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Who has the shared parts of a request, as seen from one target. */
function holdersFor(context: RelayContext, job: Job, target: Target): PartHolders {
  const { knowledge, sights } = context;
  const parts = sharedPartsAt(target, job);
  const tokensAt = (address: string): number =>
    tokensUpTo(parts, (part) => knowledge.isCached(address, part));
  // Only with the same weights: what a target made under others may stand under the same salt.
  const version = versionAt(target, job);
  const others = knowledge.targets
    .ready(job.service.name)
    .filter((one) => one.id !== target.id && versionAt(one, job) === version && !sights.isAvoided(one.id));
  const isNear = ({ dataCentre }: Target): number => Number(dataCentre === target.dataCentre);
  const neighbours = [...others]
    .sort((a, b) => isNear(b) - isNear(a))
    .map(({ address }) => ({ address, tokens: tokensAt(address) }));
  return { localTokens: tokensAt(target.address), neighbours, store: storeHolder(context, job, parts) };
}

/** What the store has of some parts; undefined when there is none that answers. */
function storeHolder(context: RelayContext, job: Job, parts: readonly SharedPart[]): PartHolders['store'] {
  const { knowledge } = context;
  const store = storeInForce(context, job);
  if (store === undefined) return undefined;
  const { address } = store;
  const tokens = tokensUpTo(parts, (part) => knowledge.isKept(address, part) !== false);
  const { waitMs } = linkOf(context, job, store);
  return { address, tokens, isBusy: isLinkBusy(waitMs, job.route.objectiveMs) };
}

/** A store's link: the time for one token, and for all that waits there, milliseconds. */
function linkOf(
  { sights }: RelayContext,
  { service }: Job,
  { address, configuration }: StoreInForce,
): { readonly tokenMs: number; readonly waitMs: number } {
  const tokenMs = tokenFetchMs(configuration, service, address);
  return { tokenMs, waitMs: linkWaitMs(sights.backlog, address, tokenMs) };
}

/** Where the shared parts of a request are, as seen from one target; `store`: the one for the request. */
export function partsView(
  context: RelayContext,
  job: Job,
  target: Target,
  store: StoreInForce | undefined,
): PartsAvailability {
  const { knowledge } = context;
  const parts = sharedPartsAt(target, job);
  const last = parts.at(-1);
  if (last === undefined) return UNKNOWN_AVAILABILITY;
  const isCached = (part: StoredPart): boolean => knowledge.isCached(target.address, part);
  const cachedTokens = tokensUpTo(parts, isCached);
  if (isCached(last)) return { location: 'here', cachedTokens };
  if (store === undefined) return { location: 'nowhere', cachedTokens };
  const isKept = knowledge.isKept(store.address, last);
  if (isKept === undefined) return { location: 'unknown', cachedTokens };
  if (!isKept) return { location: 'nowhere', cachedTokens };
  const { tokenMs, waitMs } = linkOf(context, job, store);
  const unread = tokensUpTo(parts, () => true) - cachedTokens;
  const place = isLinkBusy(waitMs, job.route.objectiveMs) ? 'busy' : 'store';
  return { location: place, cachedTokens, fetchMs: waitMs + unread * tokenMs };
}

/** Where a target fetches what it lacks of a request's shared parts; undefined: nowhere. */
export function sourceFor(context: RelayContext, job: Job, target: Target): Source | undefined {
  return sharedPartsAt(target, job).length === 0 ? undefined : sourceOf(holdersFor(context, job, target));
}
