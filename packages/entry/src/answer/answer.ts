/** One caller's answer over all attempts: held back or streamed, whole or continued. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { Call } from '../call/index.js';
import type { AttemptSink } from '../gate/index.js';
import type { Reply } from '../http/reply.js';
import { EventFramer, MAX_EVENT_BYTES } from './boundary.js';
import { continuationOf } from './continuation.js';
import { BoundedBuffer } from './keeper.js';
import { readProgress } from './progress.js';
import { EventRewriter } from './rewriter.js';

/** Bounds of one answer. */
export interface AnswerBounds {
  /** Plain answers up to this size are held back until whole. */
  readonly holdBytes: number;
  /** Sent bytes that are kept, to continue the answer or to keep it for a resend. */
  readonly keepBytes: number;
  /** Silence after which a streaming caller gets a comment, milliseconds. */
  readonly pingMs: number;
}

/** A whole answer as it is kept for a resend. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** What a broken answer can do next. */
export type Recovery =
  /** Ask another target, with this body. */
  | { readonly type: 'ask'; readonly body: Uint8Array; readonly tokens: number }
  /** The answer is whole already. */
  | { readonly type: 'whole' }
  | { readonly type: 'impossible' };

const EVENT_STREAM = 'text/event-stream';
const END_MARKER = 'data: [DONE]';

/** Statuses of a target that another target may do better on. */
const RETRY_STATUSES = new Set([500, 502, 503, 504]);

/** Takes the events of a call's attempts, one attempt after the other, and writes one answer. */
export class Answer implements AttemptSink {
  private status = 0;
  private headers: readonly HeaderField[] = [];
  private streaming = false;
  private started = false;
  /** Head of a later attempt that can't continue what was begun. */
  private isIncompatible = false;
  private failure: Fault | undefined;
  private holdBuffer: BoundedBuffer;
  private keepBuffer: BoundedBuffer;
  private framer = new EventFramer();
  private rewriter: EventRewriter | undefined;
  private firstChunkTime: number | undefined;
  private onFirstChunk: () => void = () => undefined;
  private lastBytes: Uint8Array = new Uint8Array(0);

  constructor(
    private readonly call: Call,
    private readonly reply: Reply,
    private readonly clock: Clock,
    private readonly bounds: AnswerBounds,
  ) {
    this.holdBuffer = new BoundedBuffer(bounds.holdBytes);
    this.keepBuffer = new BoundedBuffer(bounds.keepBytes);
  }

  /** Monotonic time of the first body byte since `expectFirstChunk`. */
  get firstChunkAt(): number | undefined {
    return this.firstChunkTime;
  }

  /** An attempt begins; calls back once when its first body byte comes. */
  expectFirstChunk(onFirstChunk: () => void): void {
    this.firstChunkTime = undefined;
    this.onFirstChunk = onFirstChunk;
  }

  /** Whether any byte of the answer went to the caller. */
  get hasStarted(): boolean {
    return this.started;
  }

  /** Whether the target answered that it failed, so that another one may be asked. */
  get hasTargetError(): boolean {
    return this.isIncompatible || (!this.started && RETRY_STATUSES.has(this.status));
  }

  /** Whether the end marker of a stream has gone out: whatever breaks now, the caller has its whole answer. */
  get isEndMarkerSent(): boolean {
    return this.started && this.streaming && this.call.model !== undefined && this.endsWithMarker();
  }

  /** The target's status, 0 before its head. */
  get targetStatus(): number {
    return this.status;
  }

  head(status: number, headers: readonly HeaderField[]): void {
    const type = contentTypeOf(headers);
    const events = type.startsWith(EVENT_STREAM);
    if (this.started) {
      this.isIncompatible = status !== this.status || !events || !this.streaming;
      return;
    }
    if (status < 200 || status > 599) this.failure = fault('engine-failed', `the target answered ${status}`);
    this.status = status;
    this.headers = headers;
    this.streaming = events;
    if (!events || this.failure !== undefined) return;
    this.started = true;
    this.reply.head(status, headers, 'ran');
  }

  chunk(bytes: Uint8Array): Promise<void> | undefined {
    if (this.isIncompatible) return undefined;
    if (this.firstChunkTime === undefined) this.recordFirstChunk();
    return this.streaming ? this.writeStream(bytes) : this.writePlain(bytes);
  }

  onHeartbeat(): void {
    this.reply.ping(this.bounds.pingMs);
  }

  /** The last event of an attempt came. @returns a fault when the answer is not whole all the same. */
  finish(): Fault | undefined {
    const problem = this.checkComplete();
    if (problem !== undefined) return problem;
    if (this.streaming || this.started) this.reply.end();
    else this.reply.send(this.status, this.headers, Buffer.concat(this.holdBuffer.chunks), this.runState());
    return undefined;
  }

  /** An attempt broke: what can be done so that the caller misses nothing and gets nothing twice. */
  recover(): Recovery {
    this.framer.discard();
    this.isIncompatible = false;
    this.failure = undefined;
    if (!this.started) {
      this.reset();
      return { type: 'ask', body: this.call.body, tokens: 0 };
    }
    if (!this.streaming || this.call.model === undefined) return { type: 'impossible' };
    if (this.keepBuffer.hasOverflowed) return { type: 'impossible' };
    return this.continueStream();
  }

  /** The whole answer, when it is small enough to keep. */
  toKeptAnswer(limit: number): KeptAnswer | undefined {
    const bytes = this.keepBuffer;
    if (bytes.hasOverflowed || this.status === 0) return undefined;
    const body = Buffer.concat(bytes.chunks);
    if (body.length > limit) return undefined;
    return { status: this.status, contentType: contentTypeOf(this.headers), body };
  }

  private recordFirstChunk(): void {
    this.firstChunkTime = this.clock.monotonic();
    this.onFirstChunk();
  }

  private reset(): void {
    this.status = 0;
    this.headers = [];
    this.streaming = false;
    this.holdBuffer = new BoundedBuffer(this.bounds.holdBytes);
    this.keepBuffer = new BoundedBuffer(this.bounds.keepBytes);
  }

  private continueStream(): Recovery {
    const progress = readProgress(this.keepBuffer.chunks);
    const continuation = continuationOf(this.call, progress);
    if (continuation.type === 'impossible') return continuation;
    const rewriter = new EventRewriter(progress);
    if (continuation.type === 'ask') {
      this.rewriter = progress.events === 0 ? undefined : rewriter;
      return { type: 'ask', body: continuation.body, tokens: progress.tokens };
    }
    const finalEvents = rewriter.finalEvents(continuation.reason, this.call.path.startsWith('/v1/chat/'));
    this.retain(finalEvents);
    void this.reply.write(finalEvents);
    return { type: 'whole' };
  }

  private writeStream(bytes: Uint8Array): Promise<void> | undefined {
    const completeEvents = this.framer.push(bytes);
    if (this.framer.pendingBytes > MAX_EVENT_BYTES)
      this.failure = fault('engine-failed', 'an event is too large');
    if (completeEvents.length === 0 || this.failure !== undefined) return undefined;
    const out = this.rewriter === undefined ? completeEvents : this.rewriter.push(completeEvents);
    this.retain(out);
    return this.reply.write(out);
  }

  private writePlain(bytes: Uint8Array): Promise<void> | undefined {
    this.retain(bytes);
    if (this.started) return this.reply.write(bytes);
    const all = this.holdBuffer.add(bytes);
    if (all === undefined) return undefined;
    // Too large to hold: it goes out, and from here on a break can only cut the connection.
    this.started = true;
    this.reply.head(this.status, this.headers, this.runState());
    return this.reply.write(Buffer.concat(all));
  }

  private retain(bytes: Uint8Array): void {
    this.lastBytes = bytes;
    this.keepBuffer.add(bytes);
  }

  private checkComplete(): Fault | undefined {
    if (this.failure !== undefined) return this.failure;
    if (this.status === 0) return fault('engine-failed', 'the target gave no answer');
    if (!this.streaming) return undefined;
    if (this.framer.pendingBytes > 0) return fault('stream-broken', 'the stream ended inside an event');
    if (this.call.model !== undefined && !this.endsWithMarker()) {
      return fault('stream-broken', 'the stream ended without its end marker');
    }
    return undefined;
  }

  private endsWithMarker(): boolean {
    const tail = this.lastBytes.subarray(-64);
    return Buffer.from(tail).toString('latin1').trimEnd().endsWith(END_MARKER);
  }

  private runState(): 'ran' | 'may-have-run' {
    return this.status >= 500 ? 'may-have-run' : 'ran';
  }
}

function contentTypeOf(headers: readonly HeaderField[]): string {
  return headers.find(({ name }) => name.toLowerCase() === 'content-type')?.value ?? '';
}
