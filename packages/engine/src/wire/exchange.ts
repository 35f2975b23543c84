/** One HTTP request and its answer over undici, with backpressure, silence timeouts and without hidden retries. */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Stall, StallWatch } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { fieldsOf, isFramed } from './answer.js';
import type { RawHeaders, WireAnswer, WireRequest } from './answer.js';
import { holdEnd, openedAtOf } from './connections.js';
import { FaultError, brokenStreamFault } from './failure.js';
import { MAX_INFORMATIONAL_HEADS, notAnAnswer, watchOverhead } from './overhead.js';

/** Buffered bytes above which the target is paused, and below which it is resumed. */
const HIGH_WATER_BYTES = 64 * 1024;
const LOW_WATER_BYTES = 16 * 1024;

/** The statuses of HTTP. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Code of an error by headers that are too large, and beginning of the codes of the parser's errors. */
const HEADERS_OVERFLOW = 'UND_ERR_HEADERS_OVERFLOW';
const PARSER_ERRORS = 'HPE_';

/** Whether what a target sent could not be parsed. */
function isNoHttp({ code = '' }: NodeJS.ErrnoException): boolean {
  return code === HEADERS_OVERFLOW || code.startsWith(PARSER_ERRORS);
}

/** The exchange whose request undici is about to write: its connection is named in the same turn. */
let starting: Exchange | undefined;

/** What undici tells when it writes the head of a request. */
interface WrittenHead {
  readonly request: { readonly headers: string[] };
  readonly socket: Socket;
}

subscribe('undici:client:sendHeaders', (message) => {
  if (starting === undefined) return;
  const { request, socket } = message as WrittenHead;
  starting.watchConnection(socket);
  starting = undefined;
  // undici keeps the fields until the answer ends, and short ones take twenty times their bytes.
  request.headers.length = 0;
});

/** Keeps a request from being written, and its connection open, until all events that arrived during a stall are read. */
class DeferredError extends Error {}

/**
 * State of one exchange: the handler for undici, and the body for the caller. Aborting destroys the connection, so that a
 * late answer can't be taken for that of the next request.
 */
class Exchange
  implements Dispatcher.DispatchHandler, AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array, undefined>
{
  private controller?: Dispatcher.DispatchController;
  private readonly queue: Uint8Array[] = [];
  private queued = 0;
  private ended = false;
  private failed?: Error;
  private wakeReader?: () => void;
  private lastByteAt: number;
  private stopTimer?: () => void;
  private stopWatching?: () => void;
  private bodyBytes = 0;
  private informationalHeads = 0;
  private hasHead = false;
  /** Whether the end of the connection completes the answer. */
  private isOpenEnded = false;
  private connectedAt = Infinity;
  private sent = false;
  /** The last stall after which the request was checked for an abort. */
  private checkedStall: Stall | undefined;
  readonly head: Promise<Result<WireAnswer, Fault>>;
  private resolveHead: (result: Result<WireAnswer, Fault>) => void = () => undefined;

  /** @param options what is written, which is not kept beyond that. */
  constructor(
    private readonly request: Omit<WireRequest, 'headers'>,
    private options: Dispatcher.DispatchOptions | undefined,
    private readonly pool: Dispatcher,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
    private readonly stalls: StallWatch | undefined,
  ) {
    this.lastByteAt = clock.monotonic();
    this.checkedStall = stalls?.current();
    this.head = new Promise((resolve) => {
      this.resolveHead = resolve;
    });
    signal.addEventListener('abort', this.onAbort, { once: true });
    if (request.headSilenceMs !== undefined) this.watchSilence(request.headSilenceMs);
  }

  /** Dispatches the request to the pool. After a failure before its first byte it counts as unsent. */
  start(): void {
    if (this.options === undefined) return;
    try {
      this.pool.dispatch(this.options, this);
    } catch (error) {
      this.fail(error instanceof Error ? error : new Error(String(error)));
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // An abort would close the connection, which has written nothing of this request.
    if (this.failed !== undefined) throw this.failed;
    // undici must never send a request a second time on its own: a run could then happen twice unnoticed.
    if (this.sent) {
      controller.abort(new Error('stopped a second send of the request'));
      return;
    }
    // Throwing leaves the request unwritten and its connection open; an abort would close the connection.
    if (this.mayHaveMissedAbort())
      throw new DeferredError('input that arrived during a stall is still unread');
    const problem = this.request.beforeSend?.();
    if (problem !== undefined) throw new FaultError(problem);
    this.sent = true;
    this.options = undefined;
    this.controller = controller;
    // eslint-disable-next-line @typescript-eslint/no-this-alias -- the channel has no other way to name the exchange
    starting = this;
  }

  /** Watches the connection to which the request is written. */
  watchConnection(socket: Socket): void {
    this.connectedAt = openedAtOf(socket);
    holdEnd(socket, () => this.isOpenEnded && (this.request.body?.length ?? 0) > 0);
    const stop = watchOverhead(
      socket,
      () => this.bodyBytes,
      (error) => {
        this.fail(error);
      },
    );
    this.stopWatching = stop;
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: RawHeaders): void {
    if (status < MIN_STATUS || status > MAX_STATUS) {
      this.fail(notAnAnswer(`the status ${status}`));
      return;
    }
    if (status < 200) {
      this.informationalHeads += 1;
      if (this.informationalHeads > MAX_INFORMATIONAL_HEADS)
        this.fail(notAnAnswer(`${this.informationalHeads} informational heads`));
      return;
    }
    this.hasHead = true;
    const hasLength = isFramed(this.request.method, status, headers);
    this.isOpenEnded = !hasLength;
    this.touch();
    this.stopTimer?.();
    this.stopTimer = undefined;
    if (this.request.bodySilenceMs !== undefined) this.watchSilence(this.request.bodySilenceMs);
    this.resolveHead(
      ok({
        status,
        headers: fieldsOf(headers),
        body: this,
        isFramed: hasLength,
        connectedAt: this.connectedAt,
        abandon: () => {
          this.fail(new Error('answer discarded'));
        },
      }),
    );
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.touch();
    this.queue.push(chunk);
    this.queued += chunk.length;
    this.bodyBytes += chunk.length;
    if (this.queued > HIGH_WATER_BYTES) controller.pause();
    this.wakeReader?.();
  }

  onResponseEnd(): void {
    this.ended = true;
    this.isOpenEnded = false;
    this.cleanUp();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (error instanceof DeferredError) {
      void this.startAfterCatchUp();
      return;
    }
    this.failed ??= isNoHttp(error) ? notAnAnswer(`what is no HTTP: ${error.message}`) : error;
    this.cleanUp();
    this.resolveHead(err(this.headFault(this.failed)));
  }

  /** Ends the exchange with an error and destroys its connection. */
  fail(error: Error): void {
    if (this.ended || this.failed !== undefined) return;
    this.failed = error;
    this.controller?.abort(error);
    this.cleanUp();
    this.resolveHead(err(this.headFault(error)));
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array, undefined> {
    return this;
  }

  /** The next bytes. Not a generator for speed: every token passes through it. */
  next(): Promise<IteratorResult<Uint8Array, undefined>> {
    const chunk = this.take();
    if (chunk !== undefined) return Promise.resolve({ done: false, value: chunk });
    if (this.failed !== undefined) return Promise.reject(new FaultError(brokenStreamFault(this.failed)));
    if (this.ended) return Promise.resolve({ done: true, value: undefined });
    return new Promise<void>((resolve) => {
      this.wakeReader = resolve;
    }).then(() => this.next());
  }

  return(): Promise<IteratorResult<Uint8Array, undefined>> {
    this.fail(new Error('the reader stopped before the end of the answer'));
    return Promise.resolve({ done: true, value: undefined });
  }

  /** Whether the process has stalled since the last check, so that it may not have read an abort of the request yet. */
  private mayHaveMissedAbort(): boolean {
    const stall = this.stalls?.current();
    const isNew = stall !== undefined && stall !== this.checkedStall;
    this.checkedStall = stall;
    return isNew;
  }

  /** Starts again once an abort that arrived during the stall has had time to raise the signal. */
  private async startAfterCatchUp(): Promise<void> {
    await this.stalls?.waitUntilCaughtUp();
    if (this.failed === undefined) this.start();
  }

  private take(): Uint8Array | undefined {
    const [first] = this.queue;
    if (first === undefined) return undefined;
    const chunk = this.queue.length === 1 ? first : Buffer.concat(this.queue);
    this.queue.length = 0;
    this.queued = 0;
    this.resume();
    return chunk;
  }

  private resume(): void {
    if (this.controller?.paused !== true || this.queued > LOW_WATER_BYTES) return;
    // The silence during a pause of this side doesn't count against the target.
    this.touch();
    this.controller.resume();
  }

  private touch(): void {
    this.lastByteAt = this.clock.monotonic();
  }

  /**
   * One timer for many bytes: when it fires, it checks the time of the last byte and is set again. Keeps an answer from
   * hanging for good on a connection that a middlebox has dropped.
   */
  private watchSilence(limitMs: number): void {
    const remainingMs = this.lastByteAt + limitMs - this.clock.monotonic();
    if (remainingMs <= 0 && this.controller?.paused !== true) {
      const message = `no byte for ${limitMs} ms`;
      this.fail(new FaultError(fault('stream-broken', message, { ran: this.ranState() })));
      return;
    }
    this.stopTimer = this.clock.after(remainingMs <= 0 ? limitMs : remainingMs, () => {
      this.watchSilence(limitMs);
    });
  }

  private cleanUp(): void {
    this.stopTimer?.();
    this.stopTimer = undefined;
    this.stopWatching?.();
    this.signal.removeEventListener('abort', this.onAbort);
    this.wakeReader?.();
  }

  private ranState(): 'not-run' | 'may-have-run' {
    return this.sent ? 'may-have-run' : 'not-run';
  }

  /** Fault for the head. Only a request that undici never started to write counts as not run. */
  private headFault(error: Error): Fault {
    const ran = this.ranState();
    if (error instanceof FaultError) return { ...error.fault, ran };
    if (this.signal.aborted) return fault('cancelled', 'cancelled by the caller', { ran, cause: error });
    if (!this.sent) return fault('target-unreachable', `no connection: ${error.message}`, { cause: error });
    const when = this.hasHead ? 'inside the answer' : 'before the answer';
    return fault('target-lost', `connection lost ${when}: ${error.message}`, { cause: error });
  }

  private readonly onAbort = (): void => {
    const { reason } = this.signal as { reason: unknown };
    this.fail(reason instanceof Error ? reason : new Error('aborted'));
  };
}

/**
 * Sends a request. With `stalls`, it is not sent before all events that arrived during a stall of the process are read. The
 * answer's body must be read to its end or abandoned.
 */
export function exchange(
  pool: Dispatcher,
  { headers, ...request }: WireRequest,
  clock: Clock,
  signal: AbortSignal,
  stalls?: StallWatch,
): Promise<Result<WireAnswer, Fault>> {
  if (signal.aborted) return Promise.resolve(err(fault('cancelled', 'cancelled before it was sent')));
  const { method, path, body } = request;
  const options = {
    method,
    path,
    headers: Array.isArray(headers) ? headers : { ...headers },
    body: body === undefined || body.length === 0 ? null : body,
  };
  const handler = new Exchange(request, options, pool, clock, signal, stalls);
  handler.start();
  return handler.head;
}
