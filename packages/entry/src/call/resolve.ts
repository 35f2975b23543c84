/** Resolves a caller's request to a call of a service: route, customer, model, limits and deadline. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { customerOf, nonIdempotentFor, priorityLevel } from '@jasmineroute/document';
import type { Customer, Model, ModelService, PlainService, RoutedService } from '@jasmineroute/document';
import type { View } from '@jasmineroute/directory';
import { promptOf, promptPaths } from '@jasmineroute/engine';
import type { Prompt } from '@jasmineroute/engine';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Call, CallerRequest, RequestedModel } from './call.js';
import { tablesOf } from './tables.js';

/** A request whose head is checked and whose body is not yet read. */
export interface ResolvedRequest {
  /** Maximum size of the body. */
  readonly bodyBytes: number;
  /** Completes the check with the body. */
  readonly complete: (body: Uint8Array) => Result<Call, Fault>;
}

/** The path without its query. */
export function pathOf(request: CallerRequest): string {
  const end = request.path.search(/[?#]/);
  return end === -1 ? request.path : request.path.slice(0, end);
}

/** Checks all that can be checked without the body, so that bodies of unauthenticated callers are not buffered. */
export function resolveRequest(request: CallerRequest, view: View): Result<ResolvedRequest, Fault> {
  if (promptPaths.includes(pathOf(request))) return resolveModelRequest(request, view);
  const service = tablesOf(view).routes.match(request.host, request.path);
  if (service === undefined) return err(fault('unknown-route', 'no service has this path and host'));
  return resolvePlainRequest(request, service);
}

/** The models that the customer of a request may call. */
export function modelsFor(request: CallerRequest, view: View): Result<Model[], Fault> {
  const services = servicesOf(request, view);
  return services.map((found) => found.flatMap((service) => service.models));
}

function resolveModelRequest(request: CallerRequest, view: View): Result<ResolvedRequest, Fault> {
  if (request.method !== 'POST') return err(fault('method-not-allowed', 'this path accepts only POST'));
  const type = headerOf(request, 'content-type') ?? '';
  if (!/^application\/json(?:\s*;|$)/i.test(type)) {
    return err(fault('unsupported-media-type', 'the body must be application/json'));
  }
  const encoding = headerOf(request, 'content-encoding') ?? 'identity';
  if (encoding !== 'identity') return err(fault('unsupported-media-type', 'the body must not be compressed'));
  return servicesOf(request, view).map((services) => ({
    bodyBytes: Math.max(...services.map((service) => service.limits.bodyBytes)),
    complete: (body) => completeModelCall(request, view, services, body),
  }));
}

/** The model services that the request's key may use. */
function servicesOf(request: CallerRequest, view: View): Result<ModelService[], Fault> {
  const { key } = request;
  if (key === undefined)
    return err(fault('unauthenticated', 'the Authorization header must hold a bearer key'));
  const services = tablesOf(view).modelServices.filter((service) => customerOf(service, key) !== undefined);
  if (services.length === 0) return err(fault('unauthenticated', 'the bearer key is unknown'));
  return ok(services);
}

function completeModelCall(
  request: CallerRequest,
  view: View,
  services: readonly ModelService[],
  body: Uint8Array,
): Result<Call, Fault> {
  return promptOf(request.path, body).andThen((prompt) => {
    const service = tablesOf(view).models.get(prompt.model);
    if (service === undefined || !services.includes(service)) {
      return err(
        fault('unknown-model', `there is no model ${JSON.stringify(prompt.model)} for this customer`),
      );
    }
    if (body.length > service.limits.bodyBytes) return err(tooLarge(service.limits.bodyBytes));
    return findModel(service, prompt).map((model) => createCall(request, service, body, model));
  });
}

function findModel(service: ModelService, prompt: Prompt): Result<RequestedModel, Fault> {
  const weights = service.models.find((model) => model.name === prompt.model);
  if (weights === undefined) return err(fault('unknown-model', `there is no model ${prompt.model}`));
  if (prompt.adapter === '') return ok({ prompt, weights, adapter: '' });
  const adapter = weights.adapters.find((candidate) => candidate.name === prompt.adapter);
  if (adapter === undefined) {
    return err(
      fault('unknown-model', `model ${prompt.model} has no adapter ${JSON.stringify(prompt.adapter)}`),
    );
  }
  return ok({ prompt, weights, adapter: `${adapter.name}@${adapter.version}` });
}

function resolvePlainRequest(request: CallerRequest, service: PlainService): Result<ResolvedRequest, Fault> {
  const customer = request.key === undefined ? undefined : customerOf(service, request.key);
  if (service.authenticated && customer === undefined) {
    return err(
      fault(
        'unauthenticated',
        'the Authorization header must hold a bearer key of a customer of this service',
      ),
    );
  }
  return ok({
    bodyBytes: service.limits.bodyBytes,
    complete: (body) => ok(createCall(request, service, body, undefined)),
  });
}

function createCall(
  request: CallerRequest,
  service: RoutedService,
  body: Uint8Array,
  model: RequestedModel | undefined,
): Call {
  const customer = request.key === undefined ? undefined : customerOf(service, request.key);
  const { deadlines } = service;
  const idempotent = !nonIdempotentFor(service, {
    method: request.method,
    path: request.path,
    model: model === undefined ? undefined : modelName(model.prompt),
    customer: customer?.name,
  });
  return {
    requestId: request.requestId,
    service,
    customer: customer?.name ?? '',
    priority: priorityOf(service, customer),
    method: request.method,
    path: request.path,
    headers: request.headers,
    body,
    deadlineMs: Math.min(request.deadlineMs ?? deadlines.default, deadlines.max),
    idempotent,
    claimKey: request.idempotencyKey ?? request.requestId,
    persistent: !idempotent && (request.idempotencyKey !== undefined || service.kind === 'plain'),
    model,
  };
}

function priorityOf(service: RoutedService, customer: Customer | undefined): number {
  if (customer !== undefined) return priorityLevel(service, customer);
  return service.priorities[0]?.level ?? 0;
}

function modelName({ model, adapter }: Prompt): string {
  return adapter === '' ? model : `${model}:${adapter}`;
}

function headerOf(request: CallerRequest, name: string): string | undefined {
  return request.headers.find((field) => field.name === name)?.value;
}

/** The fault for a body over its limit. */
export function tooLarge(limit: number): Fault {
  return fault('body-too-large', `the body is over the limit of ${limit} bytes`);
}
