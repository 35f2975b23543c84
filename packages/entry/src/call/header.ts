/** Parses and validates the header fields of a caller's request. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault, newId } from '@jasmineroute/core';
import type { Carrier, Fault } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { CallerRequest } from './call.js';

/** Remaining milliseconds until the caller's deadline. */
export const DEADLINE_HEADER = 'x-request-deadline-ms';
export const REQUEST_ID_HEADER = 'x-request-id';
export const IDEMPOTENCY_HEADER = 'idempotency-key';

const REQUEST_ID = /^[A-Za-z0-9._:-]{1,128}$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const BEARER = /^Bearer +([\x21-\x7e]{1,512})$/i;
const DEADLINE = /^\d{1,9}$/;

/** Fields that are ambiguous when repeated: this process and a target could use different values. */
const SINGLE_FIELDS = new Set([
  'authorization',
  'content-length',
  'content-type',
  'host',
  'transfer-encoding',
  DEADLINE_HEADER,
  REQUEST_ID_HEADER,
  IDEMPOTENCY_HEADER,
]);

/** Fields that are not forwarded: they belong to the connection or are meant for the entry. */
const NOT_FORWARDED_FIELDS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  DEADLINE_HEADER,
  REQUEST_ID_HEADER,
]);

/** The caller's request id if it is valid, otherwise a new one. */
export function requestIdOf(incoming: IncomingMessage): string {
  const requestId = incoming.headers[REQUEST_ID_HEADER];
  return typeof requestId === 'string' && REQUEST_ID.test(requestId) ? requestId : newId('req');
}

/** Trace context of a request. */
export function traceContextOf(incoming: IncomingMessage): Carrier {
  const { traceparent, tracestate } = incoming.headers;
  if (typeof traceparent !== 'string') return {};
  return typeof tracestate === 'string' ? { traceparent, tracestate } : { traceparent };
}

/** Parses and validates the head of a request. */
export function readHead(incoming: IncomingMessage, requestId: string): Result<CallerRequest, Fault> {
  const fields = fieldsOf(incoming);
  const repeated = repeatedField(fields);
  if (repeated !== undefined)
    return err(fault('invalid-request', `header ${repeated} is sent more than once`));
  const single = new Map(fields.map(({ name, value }) => [name, value]));
  const problem = checkFields(single);
  if (problem !== undefined) return err(problem);
  const key = BEARER.exec(single.get('authorization') ?? '')?.[1];
  const deadline = single.get(DEADLINE_HEADER);
  return ok({
    requestId,
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    host: single.get('host'),
    headers: forwardedFields(fields, single.get('connection')),
    key,
    idempotencyKey: single.get(IDEMPOTENCY_HEADER),
    deadlineMs: deadline === undefined ? undefined : Number(deadline),
  });
}

function fieldsOf(incoming: IncomingMessage): HeaderField[] {
  const fields: HeaderField[] = [];
  const raw = incoming.rawHeaders;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    fields.push({ name: (raw[index] ?? '').toLowerCase(), value: raw[index + 1] ?? '' });
  }
  return fields;
}

function repeatedField(fields: readonly HeaderField[]): string | undefined {
  const seen = new Set<string>();
  for (const { name } of fields) {
    if (SINGLE_FIELDS.has(name) && seen.has(name)) return name;
    seen.add(name);
  }
  return undefined;
}

function checkFields(fields: ReadonlyMap<string, string>): Fault | undefined {
  if (!fields.has('host')) return fault('invalid-request', 'header Host is missing');
  const id = fields.get(REQUEST_ID_HEADER);
  if (id !== undefined && !REQUEST_ID.test(id)) {
    return fault('invalid-request', 'X-Request-Id must be 1 to 128 letters, digits, ".", "_", ":" or "-"');
  }
  const key = fields.get(IDEMPOTENCY_HEADER);
  if (key !== undefined && !IDEMPOTENCY_KEY.test(key)) {
    return fault(
      'invalid-request',
      'Idempotency-Key must be 1 to 255 printable ASCII characters without spaces',
    );
  }
  const deadline = fields.get(DEADLINE_HEADER);
  if (deadline !== undefined && (!DEADLINE.test(deadline) || Number(deadline) === 0)) {
    return fault(
      'invalid-request',
      'X-Request-Deadline-Ms must be the remaining milliseconds, 1 to 999999999',
    );
  }
  return undefined;
}

/** The fields to forward, without those for the entry and those that the `Connection` field names. */
function forwardedFields(fields: readonly HeaderField[], connection = ''): HeaderField[] {
  const named = new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
  return fields.filter(({ name }) => !NOT_FORWARDED_FIELDS.has(name) && !named.has(name));
}
