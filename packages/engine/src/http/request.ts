/** Bodies and headers of requests to an engine. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EngineRequest, HeaderField } from '../port/index.js';
import { parseJson } from '../prompt/index.js';

/** Header with the id of an attempt, which the engine echoes. */
export const REQUEST_ID = 'x-request-id';

/** Header with the id of the caller's request, the same for all its attempts. */
export const PARENT_REQUEST_ID = 'x-parent-request-id';

/** Header with the incarnation of the engine that answers. */
export const INCARNATION = 'x-engine-incarnation';

/** Headers that apply to a single connection, or that the adapter sets itself. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that are forwarded to the next hop; the values of one name are joined into a list. */
export function forwardedHeaders(headers: readonly HeaderField[]): Record<string, string> {
  // A name such as "__proto__" would be lost as a key of an object.
  const forwarded = new Map<string, string>();
  for (const { name, value } of headers) {
    const key = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(key)) continue;
    const previous = forwarded.get(key);
    forwarded.set(key, previous === undefined ? value : `${previous}, ${value}`);
  }
  return Object.fromEntries(forwarded);
}

/** Headers of an answer for the caller, without those of a single connection or attempt. */
export function answerHeaders(headers: readonly HeaderField[], keepLength: boolean): HeaderField[] {
  return headers.filter(({ name }) => {
    if (name === 'content-length') return keepLength;
    return !HOP_BY_HOP_HEADERS.has(name) && name !== REQUEST_ID && name !== INCARNATION;
  });
}

/** Headers of an engine request. */
export function engineHeaders(request: EngineRequest): Record<string, string> {
  return {
    ...forwardedHeaders(request.headers),
    [REQUEST_ID]: request.attemptId,
    [PARENT_REQUEST_ID]: request.requestId,
  };
}

/** A request body as sent to the engine. */
export interface EngineRequestBody {
  readonly bytes: Uint8Array;
  readonly stream: boolean;
}

const CLOSING_BRACE = 0x7d;

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Adds the fields for the engine. They are appended after the caller's last one, so that the prompt is not serialized again.
 * A caller that sends these fields itself could request another customer's cache, so its own are removed.
 */
export function engineBody(request: EngineRequest): Result<EngineRequestBody, Fault> {
  return parseJson(request.body).andThen((json) => {
    if (!isObject(json)) return err(fault('invalid-request', 'the body is not a JSON object'));
    const stream = json.stream === true;
    // Engines run the smaller number first; in this system the larger has priority.
    const engineFields = { priority: -request.priority, cache_salt: request.cacheSalt };
    if ('priority' in json || 'cache_salt' in json) {
      return ok({ bytes: Buffer.from(JSON.stringify({ ...json, ...engineFields })), stream });
    }
    const empty = Object.keys(json).length === 0;
    const tail = `${empty ? '' : ','}${JSON.stringify(engineFields).slice(1)}`;
    const end = request.body.lastIndexOf(CLOSING_BRACE);
    return ok({ bytes: Buffer.concat([request.body.subarray(0, end), Buffer.from(tail)]), stream });
  });
}
