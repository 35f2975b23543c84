/** JSON calls to an engine. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type * as z from 'zod';
import { exchange, readWhole } from '../wire/index.js';
import type { Connections, WireAnswer } from '../wire/index.js';

/** Largest JSON answer that is read. */
const MAX_JSON_BYTES = 256 * 1024 * 1024;
const MAX_DETAIL_BYTES = 200;

/** Status and body of an answer. */
export interface CallAnswer {
  readonly status: number;
  readonly body: Uint8Array;
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
    json?: unknown,
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
    return this.readAnswer(opened.value);
  }

  /** Calls and checks the answer against a schema; a status outside `statuses` is a fault. */
  async read<S extends z.ZodType>(
    schema: S,
    path: string,
    signal: AbortSignal,
    statuses: readonly number[] = [200],
  ): Promise<Result<z.output<S>, Fault>> {
    const answer = await this.call('GET', path, signal);
    if (answer.isErr()) return err(answer.error);
    const { status, body } = answer.value;
    if (!statuses.includes(status)) return err(statusFault(path, status, body));
    return parseAnswer(schema, path, body);
  }

  private async readAnswer(answer: WireAnswer): Promise<Result<CallAnswer, Fault>> {
    const body = await readWhole(answer, MAX_JSON_BYTES);
    return body.map((bytes) => ({ status: answer.status, body: bytes }));
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
