/** What the system adds to a request that it sends to a target. */
import type { Target } from '@jasmineroute/knowledge';
import type { Source } from '../cache/index.js';
import type { Addition } from '../dialect/index.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';
import { cacheSaltAt, storeInForce, versionAt } from './parts.js';

/** Least urgent place that a target knows. */
const LEAST_URGENT = 9;

/**
 * The addition for one sending; `leftMs` is what is left of the request's time, `resumeAfter` the event to go on after,
 * `source` where the target fetches from.
 */
export function additionFor(
  context: RelayContext,
  job: Job,
  target: Target,
  leftMs: number,
  resumeAfter: string | undefined,
  source: Source | undefined,
): Addition {
  const { customer, route } = job;
  const weightsVersion = versionAt(target, job);
  const cacheSalt = route.hasPrompt ? cacheSaltAt(target, job) : undefined;
  return {
    deadlineMs: Math.max(1, Math.floor(leftMs)),
    targetName: target.name,
    customer: customer?.name,
    cacheSalt,
    cacheSource: source?.address,
    cacheCopy: copyTo(context, job, cacheSalt),
    urgency: route.hasPrompt ? Math.min(LEAST_URGENT, customer?.priority ?? route.priority) : undefined,
    lastEventId: route.resumable ? resumeAfter : undefined,
    weightsVersion,
  };
}

/** The store that what is read is copied to; undefined: none. */
function copyTo(context: RelayContext, job: Job, cacheSalt: string | undefined): string | undefined {
  const { prompt } = job.request;
  const store = storeInForce(context, job);
  if (cacheSalt === undefined || prompt === undefined || store === undefined) return undefined;
  return context.copySchedule.isDue(store.address, prompt, cacheSalt) ? store.address : undefined;
}
