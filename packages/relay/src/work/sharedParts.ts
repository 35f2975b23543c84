/** Locates the shared parts of a request's prompt, and builds the cache salt under which they are stored. */
import type { Configuration } from '@jasmineroute/configuration';
import type { Target } from '@jasmineroute/knowledge';
import type { StoredPart } from '@jasmineroute/protocol';
import { tokenFetchMs, isLinkBusy, linkWaitMs, sourceOf, storeFor, storesOf } from '../cache/index.js';
import type { PartHolders, Source } from '../cache/index.js';
import { UNKNOWN_AVAILABILITY } from '../placement/index.js';
import type { PartsAvailability } from '../placement/index.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';

/** The KV cache store that a prompt's shared parts are assigned to. */
export interface AssignedStore {
  /** host:port. */
  readonly address: string;
  readonly configuration: Configuration;
}

/**
 * Separates the cached blocks of isolated customers from those of others. By the configuration in force, not by the one that
 * admitted the request: a customer that has been isolated since must not write under the common salt that began then.
 */
export function customerSalt({ knowledge }: RelayContext, { customer }: Job): string {
  return knowledge.table()?.cacheScopeOf(customer?.name) ?? '';
}

/**
 * Version of the weights that a target announced. The request includes it, so that a target whose weights have
 * changed since refuses the request instead of running it on cache entries of other weights.
 */
export function weightsVersionAt(target: Target, { request, route }: Job): number | undefined {
  return route.hasPrompt && request.prompt !== undefined
    ? target.weights.get(request.prompt.model)
    : undefined;
}

/** Salt of a request's cached blocks at a target: the version of the weights, and the customer if it is isolated. */
export function cacheSaltAt(context: RelayContext, target: Target, job: Job): string {
  return `${customerSalt(context, job)}weights-${weightsVersionAt(target, job) ?? 0}`;
}

/**
 * The store for a request's shared parts, among those that are reachable; undefined if there is none, or if the
 * prompt has no shared parts.
 */
export function assignedStore(context: RelayContext, job: Job): AssignedStore | undefined {
  const { knowledge } = context;
  const configuration = knowledge.table()?.configuration;
  const { prompt } = job.request;
  if (configuration === undefined || prompt === undefined) return undefined;
  const stores = storesOf(configuration).filter(({ address }) => !knowledge.isStoreLost(address));
  const store = storeFor(prompt, customerSalt(context, job), stores);
  return store && { address: store.address, configuration };
}

/** A part that a prompt shares with others, with the salt that it has at a target. */
type SharedPart = StoredPart & { readonly tokens: number };

/** The shared parts of a prompt: all but the last, which is its own. */
function sharedPartsAt(context: RelayContext, target: Target, job: Job): SharedPart[] {
  const { prompt } = job.request;
  if (prompt === undefined) return [];
  const salt = cacheSaltAt(context, target, job);
  const { model } = prompt;
  return prompt.parts.slice(0, -1).map(({ id, tokens }) => ({ salt, model, part: id, tokens }));
}

/**
 * Tokens of the parts up to the last one that `has` confirms. A cache finds a part only together with all parts
 * before it and evicts the least recently used, so a cache that has a part has all parts before it. Missing reports
 * prove nothing: after a restart of control only the latest few thousand cache events are known, and the parts that
 * all prompts begin with are older.
 */
function leadingTokens(parts: readonly SharedPart[], has: (part: StoredPart) => boolean): number {
  const end = parts.findLastIndex((part) => has(part));
  return parts.slice(0, end + 1).reduce((sum, { tokens }) => sum + tokens, 0);
}

/** The caches that have the shared parts of a request, for one target. */
function partHoldersFor(context: RelayContext, job: Job, target: Target): PartHolders {
  const { knowledge, monitor } = context;
  const parts = sharedPartsAt(context, target, job);
  const tokensAt = (address: string): number =>
    leadingTokens(parts, (part) => knowledge.isCached(address, part));
  // Only targets with the same weights: blocks made under other weights may be stored under the same salt.
  const version = weightsVersionAt(target, job);
  const neighbourTargets = knowledge.targets
    .ready(job.service.name)
    .filter(
      (one) => one.id !== target.id && weightsVersionAt(one, job) === version && !monitor.isAvoided(one.id),
    );
  const isNear = ({ dataCentre }: Target): number => Number(dataCentre === target.dataCentre);
  const neighbours = [...neighbourTargets]
    .sort((a, b) => isNear(b) - isNear(a))
    .map(({ address }) => ({ address, tokens: tokensAt(address) }));
  return { localTokens: tokensAt(target.address), neighbours, store: storeAsHolder(context, job, parts) };
}

/** The parts that the store has; undefined if no store is reachable. */
function storeAsHolder(context: RelayContext, job: Job, parts: readonly SharedPart[]): PartHolders['store'] {
  const { knowledge } = context;
  const store = assignedStore(context, job);
  if (store === undefined) return undefined;
  const { address } = store;
  const tokens = leadingTokens(parts, (part) => knowledge.isKept(address, part) !== false);
  const { waitMs } = linkLoadOf(context, job, store);
  return { address, tokens, isBusy: isLinkBusy(waitMs, job.route.objectiveMs) };
}

/** Load of a store's link: the time to transfer one token and to finish all pending fetches, milliseconds. */
function linkLoadOf(
  { monitor }: RelayContext,
  { service }: Job,
  { address, configuration }: AssignedStore,
): { readonly tokenMs: number; readonly waitMs: number } {
  const tokenMs = tokenFetchMs(configuration, service, address);
  return { tokenMs, waitMs: linkWaitMs(monitor.backlog, address, tokenMs) };
}

/** Availability of a request's shared parts for one target; `store` is the store assigned to the request. */
export function partsAvailability(
  context: RelayContext,
  job: Job,
  target: Target,
  store: AssignedStore | undefined,
): PartsAvailability {
  const { knowledge } = context;
  const parts = sharedPartsAt(context, target, job);
  const last = parts.at(-1);
  if (last === undefined) return UNKNOWN_AVAILABILITY;
  const isCached = (part: StoredPart): boolean => knowledge.isCached(target.address, part);
  const cachedTokens = leadingTokens(parts, isCached);
  if (isCached(last)) return { location: 'here', cachedTokens };
  if (store === undefined) return { location: 'nowhere', cachedTokens };
  const isKept = knowledge.isKept(store.address, last);
  if (isKept === undefined) return { location: 'unknown', cachedTokens };
  if (!isKept) return { location: 'nowhere', cachedTokens };
  const { tokenMs, waitMs } = linkLoadOf(context, job, store);
  const unread = leadingTokens(parts, () => true) - cachedTokens;
  const place = isLinkBusy(waitMs, job.route.objectiveMs) ? 'busy' : 'store';
  return { location: place, cachedTokens, fetchMs: waitMs + unread * tokenMs };
}

/** The source from which a target fetches the shared parts that it lacks; undefined if there is none. */
export function sourceFor(context: RelayContext, job: Job, target: Target): Source | undefined {
  return sharedPartsAt(context, target, job).length === 0
    ? undefined
    : sourceOf(partHoldersFor(context, job, target));
}
