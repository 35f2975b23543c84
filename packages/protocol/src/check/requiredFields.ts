/** Required fields of requests. A request that lacks one is rejected before it is handled. */
import type { DescField, DescMessage, Message, MessageShape } from '@bufbuild/protobuf';
import type { Interceptor } from '@connectrpc/connect';
import { fault, isHostPort } from '@jasmineroute/core';
import * as control from '../gen/jasmineroute/control_pb.js';
import * as gate from '../gen/jasmineroute/gate_pb.js';
import { errorOf } from '../transport/faultError.js';

/** Whether a field's value is valid. */
type Check = (value: unknown) => boolean;

/** Checks by field name. */
type Checks = ReadonlyMap<string, Check>;

/** Zero, an empty string and an empty list mean that the field was not sent. */
const isPresent: Check = (value) => {
  if (typeof value === 'string' || Array.isArray(value) || value instanceof Uint8Array)
    return value.length > 0;
  return value !== undefined && value !== 0 && value !== 0n;
};

const isAddress: Check = (value) => typeof value === 'string' && isHostPort(value);

function checksOf<D extends DescMessage>(
  schema: D,
  checks: Partial<Record<keyof MessageShape<D> & string, Check>>,
): [string, Checks] {
  return [schema.typeName, new Map(Object.entries<Check | undefined>(checks).filter(isCheck))];
}

const isCheck = (entry: [string, Check | undefined]): entry is [string, Check] => entry[1] !== undefined;

/** Required fields by message type, at any depth of a request. */
const requiredFields = new Map<string, Checks>([
  checksOf(control.HistoryRequestSchema, { service: isPresent }),
  checksOf(control.InstanceSchema, { name: isPresent }),
  checksOf(control.BeatRequestSchema, { instance: isPresent }),
  checksOf(control.ExchangeRequestSchema, { from: isPresent }),
  checksOf(control.HeardSchema, { instance: isPresent }),
  checksOf(control.ClaimRequestSchema, { key: isPresent, attemptId: isPresent, windowMs: isPresent }),
  checksOf(control.SettleRequestSchema, {
    key: isPresent,
    attemptId: isPresent,
    settlement: isPresent,
  }),
  checksOf(control.TakeRequestSchema, {
    name: isPresent,
    holder: isPresent,
    limit: isPresent,
    ttlMs: isPresent,
  }),
  checksOf(control.ReleaseRequestSchema, { name: isPresent, holder: isPresent }),
  checksOf(control.EnlistRequestSchema, { name: isPresent, address: isAddress }),
  checksOf(control.ObserveRequestSchema, { targetId: isPresent }),
  checksOf(control.AnnouncedTargetSchema, {
    name: isPresent,
    service: isPresent,
    address: isAddress,
  }),
  checksOf(control.NamedWeightsSchema, { model: isPresent }),
  checksOf(control.TargetLoadSchema, { targetId: isPresent }),
  checksOf(control.EntryWorkSchema, { entry: isPresent }),
  checksOf(control.TargetCacheSchema, { address: isPresent }),
  checksOf(control.StreamOriginSchema, { stream: isPresent, service: isPresent, softwareVersion: isPresent }),
  checksOf(control.CrashEvidenceSchema, { request: isPresent, crashed: isPresent }),
  checksOf(control.ListQuarantineRequestSchema, { limit: isPresent }),
  checksOf(control.ReleaseQuarantinedRequestSchema, { request: isPresent }),
  checksOf(control.FindOriginsRequestSchema, { streams: isPresent }),
  checksOf(control.FindStartsRequestSchema, { names: isPresent }),
  checksOf(control.HeardStartSchema, { name: isPresent }),
  checksOf(control.ListSoftwareVersionsRequestSchema, { service: isPresent, withinMs: isPresent }),
  checksOf(gate.RunRequestSchema, { requestId: isPresent, attemptId: isPresent }),
  checksOf(gate.ResumeRequestSchema, { attemptId: isPresent }),
  checksOf(gate.CancelRequestSchema, { attemptId: isPresent }),
  checksOf(gate.ProbeRequestSchema, { model: isPresent }),
]);

type Fields = Readonly<Record<string, unknown>>;

/** A field's value. A field of a oneof is read from the oneof. */
function fieldValue(fields: Fields, { localName, oneof }: DescField): unknown {
  if (oneof === undefined) return fields[localName];
  const chosen = fields[oneof.localName] as { readonly case?: string; readonly value?: unknown };
  return chosen.case === localName ? chosen.value : undefined;
}

/** The first required field that is missing in a message or a message within it, as `Type.field`; undefined: none. */
export function missingField(schema: DescMessage, message: Message): string | undefined {
  const fields = message as unknown as Fields;
  for (const [field, isValid] of requiredFields.get(schema.typeName) ?? []) {
    if (!isValid(fields[field])) return `${schema.name}.${field}`;
  }
  for (const field of schema.fields) {
    if (field.message === undefined) continue;
    const value = fieldValue(fields, field) ?? [];
    const missing = missingFieldInside(field.message, Array.isArray(value) ? value : [value]);
    if (missing !== undefined) return missing;
  }
  return undefined;
}

function missingFieldInside(schema: DescMessage, messages: readonly Message[]): string | undefined {
  for (const message of messages) {
    const missing = missingField(schema, message);
    if (missing !== undefined) return missing;
  }
  return undefined;
}

function check(schema: DescMessage, message: Message): void {
  const missing = missingField(schema, message);
  if (missing !== undefined)
    throw errorOf(fault('invalid-request', `${missing} is missing or can't be used`));
}

async function* checkEach<M extends Message>(
  schema: DescMessage,
  messages: AsyncIterable<M>,
): AsyncGenerator<M> {
  for await (const message of messages) {
    check(schema, message);
    yield message;
  }
}

/** Rejects requests that lack a required field. A stream of requests fails at the first one. */
export const requireFields: Interceptor = (next) => (request) => {
  const { input } = request.method;
  if (request.stream) return next({ ...request, message: checkEach(input, request.message) });
  check(input, request.message);
  return next(request);
};
