/** What the system adds to a request that it sends to a target. */
import type { Target } from '@jasmineroute/knowledge';
import { storeAddress } from '../cache/index.js';
import type { StoreUse } from '../cache/index.js';
import type { Addition } from '../dialect/index.js';
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

/** Whether the store keeps what a request shares with others, for a target; undefined: there is no store, or nobody tells. */
export function isKeptFor({ knowledge }: RelayContext, job: Job, target: Target): boolean | undefined {
  const table = knowledge.table();
  const store = table === undefined ? undefined : storeAddress(table.configuration);
  const { prompt } = job.request;
  const part = prompt?.parts.at(-2);
  if (store === undefined || prompt === undefined || part === undefined || prompt.parts.length < 2)
    return undefined;
  if (knowledge.isStoreLost(store)) return false;
  return knowledge.isKept(store, { salt: cacheSaltAt(target, job), model: prompt.model, part: part.id });
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
  return {
    deadlineMs: Math.max(1, Math.floor(leftMs)),
    targetId: target.id,
    customer: customer?.name,
    cacheSalt,
    cacheSource: source,
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
