/** What the system adds to a request that it sends to a target. */
import type { Target } from '@jasmineroute/knowledge';
import { fetchMs, isLinkBusy, storeAddress } from '../cache/index.js';
import type { StoreUse } from '../cache/index.js';
import type { StoredPart } from '@jasmineroute/protocol';
import type { Addition } from '../dialect/index.js';
import { UNKNOWN_PARTS } from '../placement/index.js';
import type { PartsPlace, PartsView } from '../placement/index.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';

/** Least urgent place that a target knows. */
const LEAST_URGENT = 9;

/** Keeps cached blocks apart of a customer that shares with nobody. */
export function saltOf({ customer }: Job): string {
  return customer?.isolated === true ? `customer-${customer.name} ` : '';
}

/**
 * Version of the weights that a target announced. The request names it, so that a target whose weights changed since
 * refuses rather than run it on cache of other weights.
 */
function versionAt(target: Target, { request, route }: Job): number | undefined {
  return route.hasPrompt && request.prompt !== undefined
    ? target.weights.get(request.prompt.model)
    : undefined;
}

/** Text under which a target finds cached blocks for a request: of its weights, and of its customer if that shares with nobody. */
export function cacheSaltAt(target: Target, job: Job): string {
  return `${saltOf(job)}weights-${versionAt(target, job) ?? 0}`;
}

/** A prompt's shared parts, as a target would have them: all but the last, which is its own. */
function sharedPartsAt(target: Target, job: Job): (StoredPart & { readonly tokens: number })[] {
  const { prompt } = job.request;
  if (prompt === undefined) return [];
  const salt = cacheSaltAt(target, job);
  const { model } = prompt;
  return prompt.parts.slice(0, -1).map(({ id, tokens }) => ({ salt, model, part: id, tokens }));
}

/** Tokens of the parts up to the first that `has` denies. */
function tokensUntil(
  parts: readonly (StoredPart & { readonly tokens: number })[],
  has: (part: StoredPart) => boolean,
): number {
  const end = parts.findIndex((part) => !has(part));
  return parts.slice(0, end < 0 ? parts.length : end).reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Where the shared parts of a request are, as seen from one target. */
export function partsView({ knowledge, sights }: RelayContext, job: Job, target: Target): PartsView {
  const parts = sharedPartsAt(target, job);
  const last = parts.at(-1);
  if (last === undefined) return UNKNOWN_PARTS;
  const cachedTokens = tokensUntil(parts, (part) => knowledge.isCached(target.address, part));
  if (knowledge.isCached(target.address, last)) return { place: 'here', cachedTokens };
  const table = knowledge.table();
  const store = table === undefined ? undefined : storeAddress(table.configuration);
  if (table === undefined || store === undefined || knowledge.isStoreLost(store))
    return { place: 'nowhere', cachedTokens };
  const isKept = knowledge.isKept(store, last);
  if (isKept === undefined) return { place: 'unknown', cachedTokens };
  if (!isKept) return { place: 'nowhere', cachedTokens };
  const tokenMs = fetchMs(table.configuration, job.service, store);
  return { place: isLinkBusy(sights.backlog, store, tokenMs) ? 'busy' : 'store', cachedTokens };
}

/**
 * Another target that has the shared parts in its cache, the nearest: its link is its own, while all share the store's.
 * Only one with the same weights: what it made under others may stand under the same salt.
 */
function neighbourWith({ knowledge, sights }: RelayContext, job: Job, target: Target): string | undefined {
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

/** The addition for one sending; `leftMs` is what is left of the request's time, `resumeAfter` the event to go on after. */
export function additionFor(
  context: RelayContext,
  job: Job,
  target: Target,
  leftMs: number,
  resumeAfter: string | undefined,
  place: PartsPlace | undefined,
): Addition {
  const { customer, route } = job;
  const weightsVersion = versionAt(target, job);
  const cacheSalt = route.hasPrompt ? cacheSaltAt(target, job) : undefined;
  const { source, copy } = storeUse(context, job, cacheSalt);
  const neighbour = neighbourWith(context, job, target);
  return {
    deadlineMs: Math.max(1, Math.floor(leftMs)),
    targetId: target.id,
    customer: customer?.name,
    cacheSalt,
    cacheSource: neighbour ?? (place === 'busy' ? undefined : source),
    cacheCopy: copy,
    urgency: route.hasPrompt ? Math.min(LEAST_URGENT, customer?.priority ?? route.priority) : undefined,
    lastEventId: route.resumable ? resumeAfter : undefined,
    weightsVersion,
  };
}

function storeUse(
  { knowledge, copies }: RelayContext,
  { request }: Job,
  cacheSalt: string | undefined,
): StoreUse {
  const table = knowledge.table();
  if (cacheSalt === undefined || request.prompt === undefined || table === undefined) return {};
  const store = storeAddress(table.configuration);
  const isLost = store !== undefined && knowledge.isStoreLost(store);
  return copies.use(isLost ? undefined : store, request.prompt, cacheSalt);
}
