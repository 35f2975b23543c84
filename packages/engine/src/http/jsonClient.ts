/** JSON calls to an engine. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type * as z from 'zod';
import { exchange, readWhole } from '../wire/index.js';
import type { Connections } from '../wire/index.js';

/** Largest JSON answer that is read, bytes. */
const MAX_JSON_BYTES = 1024 * 1024;

/** The same for a snapshot of a cache, bytes: about 200,000 blocks of an engine. */
export const MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;
const MAX_DETAIL_BYTES = 200;
const OK = 200;

/** Status and body of an answer. */
export interface CallAnswer {
  readonly status: number;
  readonly body: Uint8Array;
}

/** What a call sends, and how much of an answer it reads. */
interface CallOptions {
  readonly json?: unknown;
  readonly maxBytes?: number;
}

/** Which answers are read. */
interface ReadOptions {
  /** Absent: 200. */
  readonly statuses?: readonly number[];
  readonly maxBytes?: number;
}

/** JSON calls over the connections to one engine. */
export class JsonClient {
  constructor(
    private readonly connections: Connections,
    private readonly clock: Clock,
  ) {}

  /** Calls and reads the complete answer, whatever its status. */
  async call(
    method: string,
    path: string,
    signal: AbortSignal,
    { json, maxBytes = MAX_JSON_BYTES }: CallOptions = {},
  ): Promise<Result<CallAnswer, Fault>> {
    const opened = await exchange(
      this.connections.pool(),
      {
        method,
        path,
        headers: json === undefined ? {} : { 'content-type': 'application/json' },
        body: json === undefined ? undefined : Buffer.from(JSON.stringify(json)),
      },
      this.clock,
      signal,
    );
    if (opened.isErr()) return err(opened.error);
    const body = await readWhole(opened.value, maxBytes);
    return body.map((bytes) => ({ status: opened.value.status, body: bytes }));
  }

  /** Calls and checks the answer against a schema; a status outside `statuses` is a fault. */
  async read<S extends z.ZodType>(
    schema: S,
    path: string,
    signal: AbortSignal,
    { statuses = [OK], maxBytes }: ReadOptions = {},
  ): Promise<Result<z.output<S>, Fault>> {
    const answer = await this.call('GET', path, signal, { maxBytes });
    if (answer.isErr()) return err(answer.error);
    const { status, body } = answer.value;
    if (!statuses.includes(status)) return err(statusFault(path, status, body));
    return parseAnswer(schema, path, body);
  }
}

/** Checks a body against a schema. */
export function parseAnswer<S extends z.ZodType>(
  schema: S,
  path: string,
  body: Uint8Array,
): Result<z.output<S>, Fault> {
  try {
    const parsed = schema.safeParse(JSON.parse(Buffer.from(body).toString()));
    if (parsed.success) return ok(parsed.data);
    return err(
      fault('engine-failed', `${path}: ${parsed.error.issues[0]?.message ?? 'does not match the schema'}`),
    );
  } catch (cause) {
    return err(fault('engine-failed', `${path}: not JSON`, { cause }));
  }
}

/** Fault for an unexpected status. */
export function statusFault(path: string, status: number, body: Uint8Array): Fault {
  const text = Buffer.from(body.subarray(0, MAX_DETAIL_BYTES)).toString();
  return fault('engine-failed', `${path}: status ${status} ${text}`);
}
