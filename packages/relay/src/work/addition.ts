/** What the system adds to a request that it sends to a target. */
import type { Target } from '@jasmineroute/knowledge';
import { storeAddress } from '../cache/index.js';
import type { StoreUse } from '../cache/index.js';
import type { StoredPart } from '@jasmineroute/protocol';
import type { Addition } from '../dialect/index.js';
import type { PartsPlace } from '../placement/index.js';
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

/** The shared part that stands for all before it, as a target would have it; undefined: the prompt shares nothing. */
function sharedPartAt(target: Target, job: Job): StoredPart | undefined {
  const { prompt } = job.request;
  const part = prompt === undefined || prompt.parts.length < 2 ? undefined : prompt.parts.at(-2);
  if (prompt === undefined || part === undefined) return undefined;
  return { salt: cacheSaltAt(target, job), model: prompt.model, part: part.id };
}

/** Where the shared parts of a request are, as seen from one target. */
export function partsPlace({ knowledge }: RelayContext, job: Job, target: Target): PartsPlace {
  const part = sharedPartAt(target, job);
  if (part === undefined) return 'unknown';
  if (knowledge.isCached(target.address, part)) return 'here';
  const table = knowledge.table();
  const store = table === undefined ? undefined : storeAddress(table.configuration);
  if (store === undefined || knowledge.isStoreLost(store)) return 'nowhere';
  const isKept = knowledge.isKept(store, part);
  return isKept === undefined ? 'unknown' : isKept ? 'store' : 'nowhere';
}

/**
 * Another target that has the shared parts in its cache, the nearest: its link is its own, while all share the store's.
 * Only one with the same weights: what it made under others may stand under the same salt.
 */
function neighbourWith({ knowledge, sights }: RelayContext, job: Job, target: Target): string | undefined {
  const part = sharedPartAt(target, job);
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
    cacheSource: neighbour ?? source,
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
