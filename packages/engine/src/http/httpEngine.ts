/** An engine over HTTP, per docs/engine-protocol.md. */
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
import { eventBody, wholeBody } from './body.js';
import { readCacheEvents } from './cacheEvents.js';
import { Calls, statusFault } from './jsonClient.js';
import { orderCall } from './order.js';
import { INCARNATION, REQUEST_ID, answerHeaders, bodyOf, headersOf } from './request.js';
import { watchWholeAnswer } from './jsonAnswer.js';
import { healthBody, loadBody, snapshotBody } from './schema.js';

/** Longest silence on a stream whose heartbeat comes every 500 ms. */
export const DEFAULT_SILENCE_MS = 2_000;

/** How to reach an engine. */
export interface HttpEngineOptions {
  /** "http://127.0.0.1:8000". */
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Longest silence on an event stream, milliseconds. */
  readonly silenceMs?: number;
}

const OK = 200;
const CONFLICT = 409;
const NOT_FOUND = 404;
const TOO_MANY = 429;
const SERVER_ERROR = 500;
const UNAVAILABLE = 503;

/** Statuses by which an engine says, before it has run anything, that it does not take a request. */
const refusals: Readonly<Record<number, Fault>> = {
  [NOT_FOUND]: fault('model-not-loaded', 'the engine does not have the model', { ran: 'not-run' }),
  [TOO_MANY]: fault('overloaded', 'the engine takes no more requests', { ran: 'not-run' }),
  [UNAVAILABLE]: fault('overloaded', 'the engine takes no more requests', { ran: 'not-run' }),
};

/** A position in a stream that no event has: only heartbeats and the end come from there on. */
const PAST_THE_END = 1_000_000_000;

/** An answer with the exchange that it came by. */
interface Opened {
  readonly answer: EngineAnswer;
  readonly wire: WireAnswer;
}

class HttpEngine implements Engine {
  private readonly connections: Connections;
  private readonly calls: Calls;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly silenceMs: number;

  constructor(options: HttpEngineOptions) {
    this.clock = options.clock;
    this.log = options.log;
    this.silenceMs = options.silenceMs ?? DEFAULT_SILENCE_MS;
    this.connections = new Connections(options.baseUrl);
    this.calls = new Calls(this.connections, options.clock);
  }

  async send(request: EngineRequest, signal: AbortSignal): Promise<Result<EngineAnswer, Fault>> {
    const body = bodyOf(request);
    if (body.isErr()) return err(body.error);
    const { stream, bytes } = body.value;
    const wire = {
      method: request.method,
      path: request.path,
      headers: { 'content-type': 'application/json', ...headersOf(request) },
      body: bytes,
      headSilenceMs: stream ? this.silenceMs : undefined,
      bodySilenceMs: this.silenceMs,
    };
    const opened = stream
      ? await this.open(request, signal, wire)
      : await this.openWhole(request, signal, wire);
    return opened.andThen((answer) => this.taken(answer));
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
      if (answer.status === NOT_FOUND) return err(fault('target-lost', 'the engine lost the answer'));
      return err(fault('engine-failed', `resuming: status ${answer.status}`));
    });
  }

  async cancel(attemptId: string, signal: AbortSignal): Promise<Result<void, Fault>> {
    const answer = await this.calls.call('POST', '/abort_request', signal, { rid: attemptId });
    return answer.andThen(({ status, body }) =>
      status === OK ? ok() : err(statusFault('/abort_request', status, body)),
    );
  }

  state(signal: AbortSignal): Promise<Result<EngineState, Fault>> {
    return this.calls.read(healthBody, '/health', signal, [200, UNAVAILABLE]);
  }

  async load(signal: AbortSignal): Promise<Result<EngineLoad, Fault>> {
    const body = await this.calls.read(loadBody, '/load', signal);
    return body.map(({ queued_tokens: queuedTokens, ...rest }) => ({ ...rest, queuedTokens }));
  }

  cacheEvents(fromSequence: number, signal: AbortSignal): AsyncIterable<CacheEvent> {
    const { connections, clock, log, silenceMs } = this;
    return readCacheEvents({ connections, clock, log, silenceMs }, fromSequence, signal);
  }

  cacheSnapshot(signal: AbortSignal): Promise<Result<CacheSnapshot, Fault>> {
    return this.calls.read(snapshotBody, '/kv_snapshot', signal);
  }

  async order(order: EngineOrder, fence: bigint, signal: AbortSignal): Promise<Result<void, Fault>> {
    const { path, body } = orderCall(order, fence);
    const answer = await this.calls.call('POST', path, signal, body);
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
    const answer = await this.calls.call('POST', '/kv/import', signal, { from, hashes });
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
  ): Promise<Result<Opened, Fault>> {
    const pool = this.connections.pool(request.idempotent === false);
    const opened = await exchange(pool, wire, this.clock, signal);
    if (opened.isErr()) return err(opened.error);
    return this.checked(request, opened.value);
  }

  /** Opens the stream of a known answer on a new connection. */
  private openStream(
    request: EngineRequest,
    fromEvent: number,
    signal: AbortSignal,
  ): Promise<Result<Opened, Fault>> {
    return this.open(request, signal, {
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(request.attemptId)}?from=${fromEvent}`,
      headers: headersOf({ ...request, headers: [] }),
      headSilenceMs: this.silenceMs,
      bodySilenceMs: this.silenceMs,
    });
  }

  private async openWhole(
    request: EngineRequest,
    signal: AbortSignal,
    wire: WireRequest,
  ): Promise<Result<Opened, Fault>> {
    const { clock, silenceMs } = this;
    const [cut, here] = [new AbortController(), new AbortController()];
    const follow = async (bound: AbortSignal) => {
      const opened = await this.openStream(request, PAST_THE_END, bound);
      if (opened.isOk() && opened.value.answer.status !== OK) opened.value.wire.abandon();
      return opened.map(({ answer }) => answer);
    };
    void watchWholeAnswer({ clock, silenceMs, follow }, AbortSignal.any([signal, here.signal]), (reason) => {
      cut.abort(reason);
    });
    const opened = await this.open(request, AbortSignal.any([signal, cut.signal]), wire);
    here.abort(new Error('the answer is here'));
    return opened;
  }

  /**
   * An answer that belongs to another request would hand one caller's text to another. The echoed id shows
   * it; the connection is destroyed then, as whatever follows on it is shifted too.
   */
  private checked(request: EngineRequest, wire: WireAnswer): Result<Opened, Fault> {
    const echoed = headerOf(wire.headers, REQUEST_ID);
    if (echoed !== request.attemptId) {
      wire.abandon();
      this.log.event(engineEvents.answerMismatch, { attemptId: request.attemptId, echoed });
      return err(fault('answer-mismatch', 'the engine answered with the id of another request'));
    }
    const { status, headers } = wire;
    const type = headerOf(headers, 'content-type') ?? '';
    const incarnation = headerOf(headers, INCARNATION);
    const events = type.startsWith('text/event-stream');
    const body = events ? eventBody(wire) : wholeBody(wire, type.startsWith('application/json'));
    const answer = { status, headers: answerHeaders(headers, !events), incarnation, ...body };
    return ok({ answer, wire });
  }

  /** Tells an answer from a refusal and from a failure of the engine. */
  private taken({ answer, wire }: Opened): Result<EngineAnswer, Fault> {
    const refusal = refusals[answer.status];
    if (refusal === undefined && answer.status < SERVER_ERROR) return ok(answer);
    wire.abandon();
    return err(refusal ?? fault('engine-failed', `the engine answered with status ${answer.status}`));
  }
}

/** Makes the adapter for one engine. */
export function createHttpEngine(options: HttpEngineOptions): Engine {
  return new HttpEngine(options);
}
