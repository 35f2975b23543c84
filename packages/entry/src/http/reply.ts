/** One answer to a caller, written to Node's raw response. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { answerOf } from '@jasmineroute/core';
import type { Clock, Fault, Ran } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';

/** The error object of the OpenAI-compatible API, with a fault kind as code and the run state. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly param: null;
    readonly run: Ran;
  };
}

/** The error object of a fault. */
export function errorBody(fault: Fault): ErrorBody {
  const { type } = answerOf(fault.kind);
  return { error: { message: fault.message, type, code: fault.kind, param: null, run: fault.ran } };
}

/** Fields of a target's answer that are not forwarded: they belong to one connection or are written by this process. */
const OMITTED_FIELDS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'x-request-id',
  'x-run-state',
  'date',
]);

/** State of an answer. */
export type ReplyState = 'open' | 'started' | 'finished' | 'gone';

const SSE_COMMENT = ': ping\n\n';

/** One answer to a caller. Every method does nothing once the caller has disconnected. */
export class Reply {
  private readonly hangUp = new AbortController();
  private readonly startedAt: number;
  private isEventStream = false;
  private fault: Fault | undefined;
  private hasStalled = false;
  private firstWriteAt: number | undefined;
  /** Monotonic time of the last write. */
  private lastWriteAt = 0;

  constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly stallMs: number,
    readonly requestId: string,
  ) {
    this.startedAt = clock.monotonic();
    response.setHeader('x-request-id', requestId);
    response.on('error', () => {
      this.hangUp.abort();
    });
    response.on('close', () => {
      if (!response.writableFinished) this.hangUp.abort();
    });
  }

  /** Aborts when the caller disconnects, or reads nothing for too long, before the answer is complete. */
  get hungUp(): AbortSignal {
    return this.hangUp.signal;
  }

  get state(): ReplyState {
    if (this.hangUp.signal.aborted) return 'gone';
    if (this.response.writableEnded) return 'finished';
    return this.response.headersSent ? 'started' : 'open';
  }

  /** Whether the connection was closed because the caller read nothing. */
  get stalled(): boolean {
    return this.hasStalled;
  }

  /** The fault that ended the answer, if any. */
  get failure(): Fault | undefined {
    return this.fault;
  }

  /** The status sent, or 0. */
  get status(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  /** Whether the answer is an event stream whose head was written. */
  get streaming(): boolean {
    return this.isEventStream;
  }

  /** Milliseconds since the request arrived. */
  elapsedMs(): number {
    return this.clock.monotonic() - this.startedAt;
  }

  /** Milliseconds from the request to the first byte of a streamed body. */
  get firstByteMs(): number | undefined {
    return this.firstWriteAt === undefined ? undefined : this.firstWriteAt - this.startedAt;
  }

  /** Sets one header field, if the head was not sent yet. */
  header(name: string, value: string): void {
    if (this.state === 'open') this.response.setHeader(name, value);
  }

  /** Starts an answer with a target's head. @param ran run state at this point. */
  head(status: number, headers: readonly HeaderField[], ran: Ran): void {
    if (this.state !== 'open') return;
    for (const { name, value } of headers) this.appendField(name.toLowerCase(), value);
    this.response.setHeader('x-run-state', ran);
    if (this.isEventStream) this.response.removeHeader('content-length');
    this.response.writeHead(status);
    if (this.isEventStream) this.response.flushHeaders();
    this.lastWriteAt = this.clock.monotonic();
  }

  /**
   * Writes body bytes. The returned promise, if any, resolves when the caller can take more. The connection of a caller
   * that reads nothing for `stallMs` is closed: it may be dead without a reset, and nothing else would ever release its
   * resources.
   */
  write(bytes: Uint8Array): Promise<void> | undefined {
    if (this.state !== 'started' || bytes.length === 0) return undefined;
    this.lastWriteAt = this.clock.monotonic();
    this.firstWriteAt ??= this.lastWriteAt;
    return this.response.write(bytes) ? undefined : this.waitForDrain();
  }

  /** Sends an SSE comment if nothing was written for `quietMs`, so that the caller sees that the stream is alive. */
  ping(quietMs: number): void {
    if (!this.isEventStream || this.state !== 'started' || this.response.writableNeedDrain) return;
    if (this.clock.monotonic() - this.lastWriteAt < quietMs) return;
    this.lastWriteAt = this.clock.monotonic();
    this.response.write(SSE_COMMENT);
  }

  /** Ends a complete answer. */
  end(): void {
    if (this.state === 'started') this.response.end();
  }

  /** Sends a complete answer at once. */
  send(status: number, headers: readonly HeaderField[], body: Uint8Array, ran: Ran): void {
    if (this.state !== 'open') return;
    const fields = headers.filter(({ name }) => name.toLowerCase() !== 'content-length');
    if (status !== 204 && status !== 304) this.response.setHeader('content-length', body.length);
    this.head(status, fields, ran);
    this.response.end(body);
  }

  /**
   * Reports a fault: with an error answer if nothing was sent yet, with an error event without the end marker in a
   * stream, and otherwise by resetting the connection, because a normal end would look like a complete answer.
   */
  fail(fault: Fault): void {
    if (this.state === 'finished' || this.state === 'gone') return;
    this.fault = fault;
    if (this.state === 'open') {
      this.sendError(fault);
      return;
    }
    if (!this.isEventStream) {
      // A reset rather than a close: without a Content-Length, old clients treat a close as the end of the answer.
      this.response.socket?.resetAndDestroy();
      return;
    }
    this.response.end(`data: ${JSON.stringify(errorBody(fault))}\n\n`);
  }

  /** Appends a field. An invalid field, on which Node throws, is omitted, since the rest of the answer is valid. */
  private appendField(name: string, value: string): void {
    if (OMITTED_FIELDS.has(name)) return;
    if (name === 'content-type' && value.startsWith('text/event-stream')) this.isEventStream = true;
    try {
      this.response.appendHeader(name, value);
    } catch {
      return;
    }
  }

  private sendError(fault: Fault): void {
    const { status } = answerOf(fault.kind);
    const body = Buffer.from(JSON.stringify(errorBody(fault)));
    if (fault.retryAfterMs !== undefined && fault.retryAfterMs > 0) {
      this.response.setHeader('retry-after', String(Math.ceil(fault.retryAfterMs / 1_000)));
    }
    this.send(status, [{ name: 'content-type', value: 'application/json' }], body, fault.ran);
  }

  private async waitForDrain(): Promise<void> {
    const cancelTimer = this.clock.after(this.stallMs, () => {
      this.hasStalled = true;
      this.hangUp.abort(new Error('stalled'));
      this.response.destroy();
    });
    try {
      await once(this.response, 'drain', { signal: this.hangUp.signal });
    } catch {
      // The caller has disconnected, which `state` shows.
    } finally {
      cancelTimer();
    }
  }
}
