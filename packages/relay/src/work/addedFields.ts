/** Fields that the relay adds to a request before it sends it to a target. */
import type { Target } from '@jasmineroute/knowledge';
import type { Source } from '../cache/index.js';
import type { AddedFields } from '../dialect/index.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';
import { cacheSaltAt, assignedStore, weightsVersionAt } from './sharedParts.js';

/** Lowest urgency that targets accept. */
const LOWEST_URGENCY = 9;

/**
 * The fields to add for one attempt. `leftMs` is the request's remaining time, `resumeAfter` the id of the event
 * after which a stream resumes, and `source` the cache that the target fetches from.
 */
export function addedFieldsFor(
  context: RelayContext,
  job: Job,
  target: Target,
  leftMs: number,
  resumeAfter: string | undefined,
  source: Source | undefined,
): AddedFields {
  const { customer, route } = job;
  const weightsVersion = weightsVersionAt(target, job);
  const cacheSalt = route.hasPrompt ? cacheSaltAt(context, target, job) : undefined;
  return {
    deadlineMs: wholeMs(leftMs),
    targetName: target.name,
    customer: customer?.name,
    cacheSalt,
    cacheSource: source?.address,
    cacheCopy: copyDestination(context, job, cacheSalt),
    urgency: route.hasPrompt ? Math.min(LOWEST_URGENCY, customer?.priority ?? route.priority) : undefined,
    lastEventId: route.resumable ? resumeAfter : undefined,
    weightsVersion,
  };
}

/** The remaining time as it is sent, milliseconds. */
export const wholeMs = (leftMs: number): number => Math.max(1, Math.floor(leftMs));

/** The store to which the target copies the parts that it reads; undefined if it copies none. */
function copyDestination(context: RelayContext, job: Job, cacheSalt: string | undefined): string | undefined {
  const { prompt } = job.request;
  const store = assignedStore(context, job);
  if (cacheSalt === undefined || prompt === undefined || store === undefined) return undefined;
  return context.copySchedule.isDue(store.address, prompt, cacheSalt) ? store.address : undefined;
}
