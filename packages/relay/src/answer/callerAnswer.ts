/** The caller's side of one answer, written with Node's raw response. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { answerOf } from '@jasmineroute/core';
import type { Clock, Fault, StallWatch } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { Dialect } from '../dialect/index.js';

/** A caller that takes no byte for so long is cut, milliseconds: its connection may have gone silent. */
const STALL_MS = 10_000;

/** Statuses that promise a caller that its request did not run. */
export const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;

/** The status of a fault's row, unless it would promise what is not proved. */
function statusOf({ kind, ran }: Fault): number {
  const { status } = answerOf(kind);
  return PROMISES.has(status) && ran !== 'not-run' ? BAD_GATEWAY : status;
}

/** One answer to a caller. Every method is harmless once the caller is gone. */
export class CallerAnswer {
  private readonly left = new AbortController();
  /** Earliest and latest time at which the request can have come: they differ by a stall. */
  private readonly startedAt: number;
  private readonly readAt: number;
  private firstByte: number | undefined;
  private fault: Fault | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly dialect: Dialect,
    private readonly clock: Clock,
    stalls: StallWatch,
  ) {
    this.startedAt = stalls.readSince();
    this.readAt = clock.monotonic();
    response.on('error', () => {
      this.left.abort(new Error('caller left'));
    });
    response.on('close', () => {
      if (!response.writableFinished) this.left.abort(new Error('caller left'));
    });
  }

  /** Aborts when the caller leaves before its answer is whole. */
  get gone(): AbortSignal {
    return this.left.signal;
  }

  /** Whether bytes went out. */
  get begun(): boolean {
    return this.response.headersSent;
  }

  /** Status that was sent, or 0. */
  get status(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  /** The fault that ended the answer, if one did. */
  get failure(): Fault | undefined {
    return this.fault;
  }

  /** Milliseconds since the request came; after a stall, in which that is not known, since the earliest time. */
  age(): number {
    return this.clock.monotonic() - this.startedAt;
  }

  /** The same at least, after a stall: since the request was read. */
  leastAge(): number {
    return this.clock.monotonic() - this.readAt;
  }

  /** Milliseconds from the request to the first byte of the body. */
  get firstByteMs(): number | undefined {
    return this.firstByte;
  }

  /** Sends a whole answer. */
  whole(status: number, headers: readonly HeaderField[], body: Uint8Array): void {
    if (this.left.signal.aborted || this.begun) return;
    this.fields(headers.filter(({ name }) => name.toLowerCase() !== 'content-length'));
    this.response.setHeader('content-length', body.length);
    this.response.statusCode = status;
    this.firstByte = this.age();
    this.response.end(body);
  }

  /** Begins an answer whose body comes piece by piece. */
  begin(status: number, headers: readonly HeaderField[]): void {
    if (this.left.signal.aborted || this.begun) return;
    for (const name of this.response.getHeaderNames()) {
      if (name !== 'connection') this.response.removeHeader(name);
    }
    this.fields(headers);
    this.response.statusCode = status;
  }

  /** Writes a piece, and waits while the caller takes no more. */
  async write(piece: Uint8Array): Promise<void> {
    if (this.left.signal.aborted || piece.length === 0) return;
    this.firstByte ??= this.age();
    if (!this.response.write(piece)) await this.drained();
  }

  /** Ends an answer that is whole. */
  end(): void {
    if (!this.left.signal.aborted) this.response.end();
  }

  /** Answers with a fault, or cuts the connection when a part of another answer went out already. */
  fail(fault: Fault, requestId?: string): void {
    if (this.left.signal.aborted || this.response.writableEnded) return;
    this.fault = fault;
    if (this.begun) {
      this.cut();
      return;
    }
    const { status, headers, body } = this.dialect.ownAnswer(statusOf(fault), fault, requestId);
    for (const name of this.response.getHeaderNames()) {
      if (name !== 'connection') this.response.removeHeader(name);
    }
    this.fields(headers);
    if (!this.response.req.complete) this.response.setHeader('connection', 'close');
    this.response.setHeader('content-length', body.length);
    this.response.statusCode = status;
    this.response.end(body);
  }

  /**
   * Ends the connection inside an answer. What was written still arrives, which a reset would take away; the missing last
   * chunk, or the length, shows that the answer is not whole. Only callers of HTTP/1.0 get neither, so they get a reset.
   */
  private cut(): void {
    const { socket, req } = this.response;
    if (req.httpVersion === '1.0') socket?.resetAndDestroy();
    else socket?.destroySoon();
  }

  private fields(headers: readonly HeaderField[]): void {
    for (const { name, value } of headers) this.response.appendHeader(name, value);
  }

  private async drained(): Promise<void> {
    const calledOff = this.clock.after(STALL_MS, () => {
      this.response.destroy();
    });
    try {
      await once(this.response, 'drain', { signal: this.left.signal });
    } catch {
      // The caller left: `gone` says so, and whoever writes looks there.
    } finally {
      calledOff();
    }
  }
}
