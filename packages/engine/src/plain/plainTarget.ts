/** Adapter for a plain HTTP service: requests are forwarded unchanged. */
import { createConnection } from 'node:net';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Engine, EngineAnswer, EngineRequest, EngineState } from '../port/index.js';
import { FaultError, Connections, exchange, headerOf } from '../wire/index.js';
import type { WireAnswer } from '../wire/index.js';
import { REQUEST_ID, answerHeaders, forwardedHeaders } from '../http/request.js';

/** Options of the adapter for a plain service. */
export interface PlainTargetOptions {
  /** "http://127.0.0.1:8000". */
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Concurrent requests that it can handle. */
  readonly capacity: number;
  /** Path that answers with a status below 500 while the service is healthy; absent: an open port is enough. */
  readonly healthPath?: string;
}

/** Incarnation of any plain service: it doesn't report its restarts. */
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
        headers: { ...forwardedHeaders(request.headers), [REQUEST_ID]: request.requestId },
        body: request.body,
      },
      this.options.clock,
      signal,
    );
    return opened.andThen((answer) => this.checkId(request, answer));
  }

  /** No-op, as a plain service has no call to cancel: the aborted signal of `send` closes the connection. */
  cancel(): Promise<Result<void, Fault>> {
    return Promise.resolve(ok());
  }

  async state(signal: AbortSignal): Promise<Result<EngineState, Fault>> {
    const { capacity, healthPath } = this.options;
    const ready =
      healthPath === undefined ? await this.isPortOpen(signal) : await this.isHealthy(healthPath, signal);
    return ready.map((value) => ({ incarnation: PLAIN_INCARNATION, ready: value, models: [], capacity }));
  }

  close(): Promise<void> {
    return this.connections.close();
  }

  /** Checks the echoed request id, if any: many plain services echo none. */
  private checkId(request: EngineRequest, answer: WireAnswer): Result<EngineAnswer, Fault> {
    const echoed = headerOf(answer.headers, REQUEST_ID);
    if (echoed !== undefined && echoed !== request.requestId) {
      answer.abandon();
      return err(fault('answer-mismatch', 'the service answered with the id of another request'));
    }
    return ok({
      status: answer.status,
      headers: answerHeaders(answer.headers, true),
      body: checkedBody(answer),
    });
  }

  private async isHealthy(path: string, signal: AbortSignal): Promise<Result<boolean, Fault>> {
    const request = { method: 'GET', path, headers: {} };
    const answer = await exchange(this.connections.pool(true), request, this.options.clock, signal);
    return answer.map((value) => {
      value.abandon();
      return value.status < SERVER_ERROR;
    });
  }

  private isPortOpen(signal: AbortSignal): Promise<Result<boolean, Fault>> {
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

/** Fails at the end of an answer without a length, as its end can't be distinguished from a lost connection. */
async function* checkedBody(answer: WireAnswer): AsyncGenerator<Uint8Array> {
  yield* answer.body;
  if (answer.isFramed) return;
  throw new FaultError(fault('stream-broken', 'the answer has no length, so it may be truncated'));
}

/** Creates the adapter for one plain service. */
export function createPlainTarget(options: PlainTargetOptions): Engine {
  return new PlainTarget(options);
}
