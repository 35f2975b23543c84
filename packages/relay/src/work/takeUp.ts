/** Requests that resume a stream which broke at another entry, or here. */
import type { Customer, Route } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { streamKey } from '@jasmineroute/protocol';
import type { controlMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RelayRequest } from '../dialect/index.js';
import { relayEvents } from '../events.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';

/** Delay after which a caller may ask again, milliseconds: another entry may know the stream, and a new one can begin at once. */
const RETRY_MS = 10;

/** Whether a request resumes a stream. */
const resumesStream = ({ lastEventId, resumes }: RelayRequest, { resumable }: Route): boolean =>
  resumable && (lastEventId !== undefined || resumes !== undefined);

/** Key of the stream that a request begins or resumes. */
const streamOf = ({ id, resumes }: RelayRequest, customer?: Customer): Uint8Array =>
  streamKey(customer?.name ?? '', resumes ?? id);

/** The fault for a stream that no target may continue, as far as this entry knows. */
export const notResumable = (reason: string): Fault =>
  fault('stream-not-resumable', `${reason}: begin a new stream`, { retryAfterMs: RETRY_MS });

/** Records the software version that began a stream, where callers may resume it. */
export function recordOrigin({ origins }: RelayContext, job: Job, softwareVersion: string): void {
  const { request, route, customer, service } = job;
  if (!route.resumable) return;
  const lifetimeMs = Math.ceil(Math.max(request.deadlineMs ?? 0, route.timeoutMs));
  const stream = streamOf(request, customer);
  origins.record({ stream, service: service.name, softwareVersion, lifetimeMs });
}

/**
 * The origin of the stream that a request resumes; undefined if it resumes none. What is not known for certain is refused:
 * a target of another software version would continue it with events that don't fit. Errors: stream-not-resumable.
 */
export async function originOf(
  { origins, startupGrace, log }: RelayContext,
  request: RelayRequest,
  route: Route,
  customer: Customer | undefined,
  signal: AbortSignal,
): Promise<Result<controlMessage.StreamOrigin | undefined, Fault>> {
  if (!resumesStream(request, route)) return ok(undefined);
  if (request.resumes === undefined)
    return err(notResumable('the request does not name the one that began its stream'));
  const origin = await origins.find(streamOf(request, customer), startupGrace.endsAt, signal);
  if (origin === undefined)
    return err(notResumable('no control instance knows the software version of the stream'));
  const { service, softwareVersion } = origin;
  log.event(relayEvents.resumed, { request: request.id, resumes: request.resumes, service, softwareVersion });
  const isRouted = route.services.some((share) => share.service === service && share.weight > 0);
  return isRouted ? ok(origin) : err(notResumable(`the route no longer leads to ${service}`));
}
