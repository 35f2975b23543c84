/** Adapter for an engine over HTTP, as specified in docs/engine-protocol.md. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { engineEvents } from '../events.js';
import type {
  CacheEvent,
  CacheSnapshot,
  Engine,
  EngineAnswer,
  EngineLoad,
  EngineOrder,
  EngineRequest,
  EngineState,
} from '../port/index.js';
import { Connections, exchange, headerOf } from '../wire/index.js';
import type { WireAnswer, WireRequest } from '../wire/index.js';
import { eventBody, nonStreamBody } from './body.js';
import { readCacheEvents } from './cacheEvents.js';
import { JsonClient, MAX_SNAPSHOT_BYTES, statusFault } from './jsonClient.js';
import { orderCall } from './order.js';
import { INCARNATION, REQUEST_ID, answerHeaders, engineBody, engineHeaders } from './request.js';
import { watchJsonAnswer } from './jsonAnswer.js';
import { healthBody, loadBody, snapshotBody } from './schema.js';

/** Longest silence on a stream with a heartbeat every 500 ms. */
export const DEFAULT_SILENCE_MS = 2_000;

/** Options of the adapter. */
export interface HttpEngineOptions {
  /** "http://127.0.0.1:8000". */
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Longest silence on an event stream before it is aborted, milliseconds. */
  readonly silenceMs?: number;
}

const OK = 200;
const CONFLICT = 409;
const NOT_FOUND = 404;
const TOO_MANY = 429;
const SERVER_ERROR = 500;
const UNAVAILABLE = 503;

/** Statuses with which an engine refuses a request before running anything. */
const refusals: Readonly<Record<number, Fault>> = {
  [NOT_FOUND]: fault('model-not-loaded', 'the engine does not have the model', { ran: 'not-run' }),
  [TOO_MANY]: fault('overloaded', 'the engine accepts no more requests', { ran: 'not-run' }),
  [UNAVAILABLE]: fault('overloaded', 'the engine accepts no more requests', { ran: 'not-run' }),
};

/** A stream position beyond any event: a stream opened there carries only heartbeats and the end. */
const BEYOND_LAST_EVENT = 1_000_000_000;

/** An answer with its HTTP exchange. */
interface OpenedAnswer {
  readonly answer: EngineAnswer;
  readonly wire: WireAnswer;
}

class HttpEngine implements Engine {
  private readonly connections: Connections;
  private readonly client: JsonClient;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly silenceMs: number;

  constructor(options: HttpEngineOptions) {
    this.clock = options.clock;
    this.log = options.log;
    this.silenceMs = options.silenceMs ?? DEFAULT_SILENCE_MS;
    this.connections = new Connections(options.baseUrl);
    this.client = new JsonClient(this.connections, options.clock);
  }

  async send(request: EngineRequest, signal: AbortSignal): Promise<Result<EngineAnswer, Fault>> {
    const body = engineBody(request);
    if (body.isErr()) return err(body.error);
    const { stream, bytes } = body.value;
    const wire = {
      method: request.method,
      path: request.path,
      headers: { 'content-type': 'application/json', ...engineHeaders(request) },
      body: bytes,
      headSilenceMs: stream ? this.silenceMs : undefined,
      bodySilenceMs: this.silenceMs,
    };
    const opened = stream
      ? await this.open(request, signal, wire)
      : await this.openJson(request, signal, wire);
    return opened.andThen((answer) => this.acceptOrFail(answer));
  }

  async resume(
    request: EngineRequest,
    fromEvent: number,
    signal: AbortSignal,
  ): Promise<Result<EngineAnswer, Fault>> {
    const opened = await this.openStream(request, fromEvent, signal);
    return opened.andThen(({ answer, wire }) => {
      if (answer.status === OK) return ok(answer);
      wire.abandon();
      if (answer.status === NOT_FOUND)
        return err(fault('target-lost', 'the engine no longer has the answer'));
      return err(fault('engine-failed', `resuming the answer failed with status ${answer.status}`));
    });
  }

  async cancel(attemptId: string, signal: AbortSignal): Promise<Result<void, Fault>> {
    const answer = await this.client.call('POST', '/abort_request', signal, { json: { rid: attemptId } });
    return answer.andThen(({ status, body }) =>
      status === OK ? ok() : err(statusFault('/abort_request', status, body)),
    );
  }

  async state(signal: AbortSignal): Promise<Result<EngineState, Fault>> {
    const body = await this.client.read(healthBody, '/health', signal, { statuses: [OK, UNAVAILABLE] });
    return body.map(({ software_version: softwareVersion, ...rest }) => ({ ...rest, softwareVersion }));
  }

  async load(signal: AbortSignal): Promise<Result<EngineLoad, Fault>> {
    const body = await this.client.read(loadBody, '/load', signal);
    return body.map(({ queued_tokens: queuedTokens, ...rest }) => ({ ...rest, queuedTokens }));
  }

  cacheEvents(fromSequence: number, signal: AbortSignal): AsyncIterable<CacheEvent> {
    const { connections, clock, log, silenceMs } = this;
    return readCacheEvents({ connections, clock, log, silenceMs }, fromSequence, signal);
  }

  cacheSnapshot(signal: AbortSignal): Promise<Result<CacheSnapshot, Fault>> {
    return this.client.read(snapshotBody, '/kv_snapshot', signal, { maxBytes: MAX_SNAPSHOT_BYTES });
  }

  async order(order: EngineOrder, fence: bigint, signal: AbortSignal): Promise<Result<void, Fault>> {
    const { path, body } = orderCall(order, fence);
    const answer = await this.client.call('POST', path, signal, { json: body });
    return answer.andThen((value) => {
      if (value.status === OK) return ok();
      const detail = statusFault(path, value.status, value.body);
      return err(value.status === CONFLICT ? fault('version-conflict', detail.message) : detail);
    });
  }

  async importCache(
    from: string,
    hashes: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<void, Fault>> {
    const answer = await this.client.call('POST', '/kv/import', signal, { json: { from, hashes } });
    return answer.andThen(({ status, body }) =>
      status === OK ? ok() : err(statusFault('/kv/import', status, body)),
    );
  }

  close(): Promise<void> {
    return this.connections.close();
  }

  private async open(
    request: EngineRequest,
    signal: AbortSignal,
    wire: WireRequest,
  ): Promise<Result<OpenedAnswer, Fault>> {
    const pool = this.connections.pool(request.idempotent === false);
    const opened = await exchange(pool, wire, this.clock, signal);
    if (opened.isErr()) return err(opened.error);
    return this.checkId(request, opened.value);
  }

  /** Opens the event stream of an earlier request on a new connection. */
  private openStream(
    request: EngineRequest,
    fromEvent: number,
    signal: AbortSignal,
  ): Promise<Result<OpenedAnswer, Fault>> {
    return this.open(request, signal, {
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(request.attemptId)}?from=${fromEvent}`,
      headers: engineHeaders({ ...request, headers: [] }),
      headSilenceMs: this.silenceMs,
      bodySilenceMs: this.silenceMs,
    });
  }

  private async openJson(
    request: EngineRequest,
    signal: AbortSignal,
    wire: WireRequest,
  ): Promise<Result<OpenedAnswer, Fault>> {
    const { clock, silenceMs } = this;
    const [lost, arrived] = [new AbortController(), new AbortController()];
    const followStream = async (bound: AbortSignal) => {
      const opened = await this.openStream(request, BEYOND_LAST_EVENT, bound);
      if (opened.isOk() && opened.value.answer.status !== OK) opened.value.wire.abandon();
      return opened.map(({ answer }) => answer);
    };
    void watchJsonAnswer(
      { clock, silenceMs, followStream },
      AbortSignal.any([signal, arrived.signal]),
      (reason) => {
        lost.abort(reason);
      },
    );
    const opened = await this.open(request, AbortSignal.any([signal, lost.signal]), wire);
    arrived.abort(new Error('the answer has arrived'));
    return opened;
  }

  /**
   * Checks the echoed request id: an answer to another request would leak one caller's text to another. On a mismatch the
   * connection is destroyed, as all later answers on it are out of step too.
   */
  private checkId(request: EngineRequest, wire: WireAnswer): Result<OpenedAnswer, Fault> {
    const echoed = headerOf(wire.headers, REQUEST_ID);
    if (echoed !== request.attemptId) {
      wire.abandon();
      this.log.event(engineEvents.answerMismatch, { attemptId: request.attemptId, echoed });
      return err(fault('answer-mismatch', 'the engine answered with the id of another request'));
    }
    const { status, headers } = wire;
    const contentType = headerOf(headers, 'content-type') ?? '';
    const incarnation = headerOf(headers, INCARNATION);
    const isEventStream = contentType.startsWith('text/event-stream');
    const body = isEventStream
      ? eventBody(wire)
      : nonStreamBody(wire, contentType.startsWith('application/json'));
    const answer = { status, headers: answerHeaders(headers, !isEventStream), incarnation, ...body };
    return ok({ answer, wire });
  }

  /** Returns the answer, or a fault for a refusal or a failure of the engine. */
  private acceptOrFail({ answer, wire }: OpenedAnswer): Result<EngineAnswer, Fault> {
    const refusal = refusals[answer.status];
    if (refusal === undefined && answer.status < SERVER_ERROR) return ok(answer);
    wire.abandon();
    return err(refusal ?? fault('engine-failed', `the engine answered with status ${answer.status}`));
  }
}

/** Creates the adapter for one engine. */
export function createHttpEngine(options: HttpEngineOptions): Engine {
  return new HttpEngine(options);
}
