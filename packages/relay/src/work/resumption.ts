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
import { relayMetrics } from '../metrics.js';
import { servicesOf } from '../origin/index.js';
import type { Admitted } from './admit.js';
import type { Job } from './attempt.js';
import type { RelayContext } from './context.js';

/** Delay after which a caller may ask again, milliseconds: another entry may know the stream, and a new one can begin at once. */
const RETRY_MS = 10;

/** Time after which a caller whose stream broke has resumed it, or never does, milliseconds. */
const MAX_RETURN_MS = 5_000;

/** Whether a request resumes a stream, also where the configuration of this entry, which may be old, does not allow it. */
const resumesStream = ({ lastEventId, resumes }: RelayRequest, { kind }: Route): boolean =>
  kind === 'stream' && (lastEventId !== undefined || resumes !== undefined);

/** Key of the stream that a request begins or resumes; of one that it does not name, its own. */
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

/** The service and software version that may continue a stream. */
export type ResumedOrigin = Pick<controlMessage.StreamOrigin, 'service' | 'softwareVersion'>;

/** How the origin of a resumed stream was decided, or why it was not. */
type Decision =
  | { readonly by: 'own' | 'lookup' | 'sole'; readonly origin: ResumedOrigin }
  | { readonly by: 'unknown' | 'unanswered' | 'several' | 'split' | 'moved' | 'outdated' | 'not-resumable' };

/**
 * The origin of the stream that a request resumes; undefined if it resumes none. What is not known for certain is refused:
 * a target of another software version would continue it with events that don't fit. Errors: stream-not-resumable.
 */
export async function originOf(
  context: RelayContext,
  request: RelayRequest,
  admitted: Admitted,
  signal: AbortSignal,
): Promise<Result<ResumedOrigin | undefined, Fault>> {
  const { route } = admitted;
  if (!resumesStream(request, route)) return ok(undefined);
  const decision = await decide(context, request, admitted, signal);
  recordDecision(context, request, decision);
  if (!('origin' in decision)) return err(notResumable('the software version of the stream is not known'));
  const { origin } = decision;
  const isRouted = servicesOf(route).includes(origin.service);
  return isRouted ? ok(origin) : err(notResumable(`the route no longer leads to ${origin.service}`));
}

async function decide(
  context: RelayContext,
  request: RelayRequest,
  admitted: Admitted,
  signal: AbortSignal,
): Promise<Decision> {
  const { origins, startupGrace } = context;
  const { route, customer } = admitted;
  if (!route.resumable) return { by: 'not-resumable' };
  return request.resumes === undefined
    ? soleOrigin(context, request, admitted, signal)
    : origins.find(streamOf(request, customer), startupGrace.endsAt, signal);
}

/** Logs and counts how the origin was decided, with what this entry knew. */
function recordDecision(
  { knowledge, log, metrics }: RelayContext,
  { id, resumes, lastEventId }: RelayRequest,
  decision: Decision,
): void {
  const { by } = decision;
  metrics.count(relayMetrics.originsDecided, 1, { by });
  const known = { request: id, resumes, after: lastEventId, by, configuration: knowledge.number() };
  if (!('origin' in decision)) {
    log.event(relayEvents.notResumed, known);
    return;
  }
  const { service, softwareVersion } = decision.origin;
  const targets = knowledge.targets.ready(service);
  const serving = targets.filter((target) => target.softwareVersion === softwareVersion).length;
  const others = targets.length - serving;
  log.event(relayEvents.resumed, { ...known, service, softwareVersion, serving, others });
}

/**
 * The origin of a stream that a caller does not name: known only if all targets have had the same software version, and the
 * route has led to the same service, since the attempt that broke began. An earlier attempt of the same stream was resumed
 * under the same condition, at that version.
 */
async function soleOrigin(
  { origins, movedRoutes, startupGrace }: RelayContext,
  { path }: RelayRequest,
  { route, configuration }: Admitted,
  signal: AbortSignal,
): Promise<Decision> {
  const [service, ...others] = servicesOf(route);
  if (service === undefined || others.length > 0) return { by: 'split' };
  const withinMs = Math.ceil(route.timeoutMs) + MAX_RETURN_MS;
  if (movedRoutes.hasMoved(route, path, withinMs)) return { by: 'moved' };
  const { endsAt } = startupGrace;
  const decision = await origins.soleVersion(service, withinMs, configuration, endsAt, signal);
  if (decision.by !== 'sole') return decision;
  return { by: 'sole', origin: { service, softwareVersion: decision.version } };
}
