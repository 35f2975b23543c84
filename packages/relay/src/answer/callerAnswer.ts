/** Writes one answer to a caller through Node's raw response. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { answerOf } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { Arrival } from '@jasmineroute/entry';
import type { Dialect } from '../dialect/index.js';

/** Time after which a caller that accepts no more data is disconnected, milliseconds: its connection may be dead. */
const WRITE_TIMEOUT_MS = 10_000;

/** Statuses that tell a caller that its request did not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;

/** The HTTP status of a fault, unless it would claim without proof that the request did not run. */
function statusOf({ kind, ran }: Fault): number {
  const { status } = answerOf(kind);
  return NOT_RUN_STATUSES.has(status) && ran !== 'not-run' ? BAD_GATEWAY : status;
}

/** One answer to a caller. All methods are safe to call after the caller has left. */
export class CallerAnswer {
  private readonly left = new AbortController();
  private firstByteAfterMs: number | undefined;
  private fault: Fault | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly dialect: Dialect,
    private readonly clock: Clock,
    private readonly arrival: Arrival,
  ) {
    response.on('error', () => {
      this.left.abort(new Error('caller left'));
    });
    response.on('close', () => {
      if (!response.writableFinished) this.left.abort(new Error('caller left'));
    });
  }

  /** Aborts when the caller leaves before its answer is complete. */
  get gone(): AbortSignal {
    return this.left.signal;
  }

  /** Whether the headers have been sent. */
  get begun(): boolean {
    return this.response.headersSent;
  }

  /** HTTP status that was sent, or 0. */
  get status(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  /** The fault that ended the answer, if any. */
  get failure(): Fault | undefined {
    return this.fault;
  }

  /**
   * Maximum age of the request in milliseconds: where it may have waited to be read its arrival time is uncertain, and the
   * earliest counts.
   */
  age(): number {
    return this.clock.monotonic() - this.arrival.earliestAt;
  }

  /** Minimum age of the request in milliseconds: the time since it was read. */
  minAge(): number {
    return this.clock.monotonic() - this.arrival.readAt;
  }

  /** Milliseconds from the arrival of the request to the first body byte. */
  get firstByteMs(): number | undefined {
    return this.firstByteAfterMs;
  }

  /**
   * Sends a complete answer.
   * @param onSent called once nothing of it is held any more, as it was sent or can't be.
   */
  whole(
    status: number,
    headers: readonly HeaderField[],
    body: Uint8Array,
    onSent: () => void = () => undefined,
  ): void {
    if (this.left.signal.aborted || this.begun) {
      onSent();
      return;
    }
    this.response.once('close', onSent);
    this.appendHeaders(headers.filter(({ name }) => name.toLowerCase() !== 'content-length'));
    this.response.setHeader('content-length', body.length);
    this.response.statusCode = status;
    this.firstByteAfterMs = this.age();
    this.response.end(body);
  }

  /** Starts an answer whose body is written in chunks. */
  begin(status: number, headers: readonly HeaderField[]): void {
    if (this.left.signal.aborted || this.begun) return;
    for (const name of this.response.getHeaderNames()) {
      if (name !== 'connection') this.response.removeHeader(name);
    }
    this.appendHeaders(headers);
    this.response.statusCode = status;
  }

  /** Writes a chunk, and waits while the caller accepts no more data. */
  async write(chunk: Uint8Array): Promise<void> {
    if (this.left.signal.aborted || chunk.length === 0) return;
    this.firstByteAfterMs ??= this.age();
    if (!this.response.write(chunk)) await this.waitForDrain();
  }

  /** Ends a complete answer. */
  end(): void {
    if (!this.left.signal.aborted) this.response.end();
  }

  /** Answers with a fault, or closes the connection if part of another answer has already been sent. */
  fail(fault: Fault, requestId?: string): void {
    if (this.left.signal.aborted || this.response.writableEnded) return;
    this.fault = fault;
    if (this.begun) {
      this.cut();
      return;
    }
    const { status, headers, body } = this.dialect.localAnswer(statusOf(fault), fault, requestId);
    for (const name of this.response.getHeaderNames()) {
      if (name !== 'connection') this.response.removeHeader(name);
    }
    this.appendHeaders(headers);
    if (!this.response.req.complete) this.response.setHeader('connection', 'close');
    this.response.setHeader('content-length', body.length);
    this.response.statusCode = status;
    this.response.end(body);
  }

  /**
   * Closes the connection in the middle of an answer. A graceful close still delivers what was written, which a reset
   * would discard; the missing last chunk or the content length shows that the answer is incomplete. Callers of
   * HTTP/1.0 get neither, so their connection is reset.
   */
  private cut(): void {
    const { socket, req } = this.response;
    if (req.httpVersion === '1.0') socket?.resetAndDestroy();
    else socket?.destroySoon();
  }

  private appendHeaders(headers: readonly HeaderField[]): void {
    for (const { name, value } of headers) this.response.appendHeader(name, value);
  }

  private async waitForDrain(): Promise<void> {
    const cancelTimer = this.clock.after(WRITE_TIMEOUT_MS, () => {
      this.response.destroy();
    });
    try {
      await once(this.response, 'drain', { signal: this.left.signal });
    } catch {
      // The caller left. `gone` is aborted, and the code that writes checks it.
    } finally {
      cancelTimer();
    }
  }
}
