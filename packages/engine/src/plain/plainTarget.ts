/** A plain HTTP service as a target: requests pass unchanged. */
import { createConnection } from 'node:net';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Engine, EngineAnswer, EngineRequest, EngineState } from '../port/index.js';
import { FaultError, Connections, exchange, headerOf } from '../wire/index.js';
import type { WireAnswer } from '../wire/index.js';
import { REQUEST_ID, answerHeaders, passedHeaders } from '../http/request.js';

/** How to reach a plain service. */
export interface PlainTargetOptions {
  /** "http://127.0.0.1:8000". */
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Concurrent requests that it can take. */
  readonly capacity: number;
  /** Path that answers below 500 while the service can work; absent: an open port is enough. */
  readonly healthPath?: string;
}

/** A plain service does not tell its starts apart. */
export const PLAIN_INCARNATION = 'plain';

const SERVER_ERROR = 500;

class PlainTarget implements Engine {
  private readonly connections: Connections;

  constructor(private readonly options: PlainTargetOptions) {
    this.connections = new Connections(options.baseUrl);
  }

  async send(request: EngineRequest, signal: AbortSignal): Promise<Result<EngineAnswer, Fault>> {
    const opened = await exchange(
      this.connections.pool(request.idempotent === false),
      {
        method: request.method,
        path: request.path,
        headers: { ...passedHeaders(request.headers), [REQUEST_ID]: request.requestId },
        body: request.body,
      },
      this.options.clock,
      signal,
    );
    return opened.andThen((answer) => this.checked(request, answer));
  }

  /** A plain service knows no cancelling: the aborted signal of `send` closes the connection, no more. */
  cancel(): Promise<Result<void, Fault>> {
    return Promise.resolve(ok());
  }

  async state(signal: AbortSignal): Promise<Result<EngineState, Fault>> {
    const { capacity, healthPath } = this.options;
    const ready =
      healthPath === undefined ? await this.portOpen(signal) : await this.healthy(healthPath, signal);
    return ready.map((value) => ({ incarnation: PLAIN_INCARNATION, ready: value, models: [], capacity }));
  }

  close(): Promise<void> {
    return this.connections.close();
  }

  /** Many plain services echo no id; one that does must echo the right one. */
  private checked(request: EngineRequest, answer: WireAnswer): Result<EngineAnswer, Fault> {
    const echoed = headerOf(answer.headers, REQUEST_ID);
    if (echoed !== undefined && echoed !== request.requestId) {
      answer.abandon();
      return err(fault('answer-mismatch', 'the service answered with the id of another request'));
    }
    return ok({
      status: answer.status,
      headers: answerHeaders(answer.headers, true),
      body: framedBody(answer),
    });
  }

  private async healthy(path: string, signal: AbortSignal): Promise<Result<boolean, Fault>> {
    const request = { method: 'GET', path, headers: {} };
    const answer = await exchange(this.connections.pool(true), request, this.options.clock, signal);
    return answer.map((value) => {
      value.abandon();
      return value.status < SERVER_ERROR;
    });
  }

  private portOpen(signal: AbortSignal): Promise<Result<boolean, Fault>> {
    const { hostname, port } = new URL(this.options.baseUrl);
    return new Promise((resolve) => {
      const socket = createConnection({ host: hostname, port: Number(port || '80'), signal });
      socket.once('connect', () => {
        socket.destroy();
        resolve(ok(true));
      });
      socket.once('error', (cause) => {
        resolve(err(fault('target-unreachable', `no connection: ${cause.message}`, { cause })));
      });
    });
  }
}

/** Without a length, an answer's end cannot be told from a cut, so it is not passed on as whole. */
async function* framedBody(answer: WireAnswer): AsyncGenerator<Uint8Array> {
  yield* answer.body;
  if (answer.framed) return;
  throw new FaultError(
    fault('stream-broken', 'the answer has no length, so its end cannot be told from a cut'),
  );
}

/** Makes the adapter for one plain service. */
export function createPlainTarget(options: PlainTargetOptions): Engine {
  return new PlainTarget(options);
}
