/** What the system adds to a request that it sends to a target. */
import type { Target } from '@jasmineroute/knowledge';
import type { StoreUse } from '../cache/index.js';
import type { Addition } from '../dialect/index.js';
import type { PartsPlace } from '../placement/index.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';
import { cacheSaltAt, neighbourWith, storeInForce, versionAt } from './parts.js';

/** Least urgent place that a target knows. */
const LEAST_URGENT = 9;

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
    targetName: target.name,
    customer: customer?.name,
    cacheSalt,
    cacheSource: neighbour ?? (place === 'busy' ? undefined : source),
    cacheCopy: copy,
    urgency: route.hasPrompt ? Math.min(LEAST_URGENT, customer?.priority ?? route.priority) : undefined,
    lastEventId: route.resumable ? resumeAfter : undefined,
    weightsVersion,
  };
}

function storeUse(context: RelayContext, { request }: Job, cacheSalt: string | undefined): StoreUse {
  if (cacheSalt === undefined || request.prompt === undefined) return {};
  const store = storeInForce(context);
  return context.copies.use(store?.isLost === false ? store.address : undefined, request.prompt, cacheSalt);
}
