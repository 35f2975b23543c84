/** Bodies and headers of requests to an engine. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EngineRequest, HeaderField } from '../port/index.js';
import { parseJson } from '../prompt/index.js';

/** Header that carries the id which the engine knows an attempt by, and echoes. */
export const REQUEST_ID = 'x-request-id';

/** Header that carries the id of the caller's request, the same for all its attempts. */
export const PARENT_REQUEST_ID = 'x-parent-request-id';

/** Header that names the process that answers. */
export const INCARNATION = 'x-engine-incarnation';

/** Headers of one connection, or set by the adapter itself. */
const dropped = new Set([
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

/** Headers that may pass from one hop to the next; the last of one name counts, joined lists aside. */
export function passedHeaders(headers: readonly HeaderField[]): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const { name, value } of headers) {
    const key = name.toLowerCase();
    if (dropped.has(key)) continue;
    const known = passed[key];
    passed[key] = known === undefined ? value : `${known}, ${value}`;
  }
  return passed;
}

/** Headers of an answer that the caller may see: those of one connection or one attempt are left out. */
export function answerHeaders(headers: readonly HeaderField[], whole: boolean): HeaderField[] {
  return headers.filter(({ name }) => {
    if (name === 'content-length') return whole;
    return !dropped.has(name) && name !== REQUEST_ID && name !== INCARNATION;
  });
}

/** Headers of an engine request. */
export function headersOf(request: EngineRequest): Record<string, string> {
  return {
    ...passedHeaders(request.headers),
    [REQUEST_ID]: request.attemptId,
    [PARENT_REQUEST_ID]: request.requestId,
  };
}

/** A body ready to go out. */
export interface EngineRequestBody {
  readonly bytes: Uint8Array;
  readonly stream: boolean;
}

const CLOSING_BRACE = 0x7d;

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Adds the engine's own fields. They go behind the caller's last one, so that the prompt is not written anew.
 * A caller that sends the fields itself could ask for another customer's cache, so its own are taken out.
 */
export function bodyOf(request: EngineRequest): Result<EngineRequestBody, Fault> {
  return parseJson(request.body).andThen((json) => {
    if (!isObject(json)) return err(fault('invalid-request', 'the body is not a JSON object'));
    const stream = json.stream === true;
    // Engines run the smaller number first; here the larger goes first.
    const own = { priority: -request.priority, cache_salt: request.cacheSalt };
    if ('priority' in json || 'cache_salt' in json) {
      return ok({ bytes: Buffer.from(JSON.stringify({ ...json, ...own })), stream });
    }
    const empty = Object.keys(json).length === 0;
    const tail = `${empty ? '' : ','}${JSON.stringify(own).slice(1)}`;
    const end = request.body.lastIndexOf(CLOSING_BRACE);
    return ok({ bytes: Buffer.concat([request.body.subarray(0, end), Buffer.from(tail)]), stream });
  });
}
