/** The answer to one caller, assembled from all attempts: buffered or streamed, and continued after a break. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { Call } from '../call/index.js';
import type { AttemptSink } from '../gate/index.js';
import type { Reply } from '../http/reply.js';
import { EventFramer, MAX_EVENT_BYTES } from './eventFramer.js';
import { continuationOf } from './continuation.js';
import { BoundedBuffer } from './boundedBuffer.js';
import { readProgress } from './progress.js';
import { EventRewriter } from './eventRewriter.js';

/** Limits of one answer. */
export interface AnswerBounds {
  /** Answers that are not streamed are buffered until complete, up to this size in bytes. */
  readonly holdBytes: number;
  /** Maximum number of sent bytes kept to continue the answer on another target or to replay it for a retry. */
  readonly keepBytes: number;
  /** Time without output after which a streaming caller gets an SSE comment, milliseconds. */
  readonly pingMs: number;
}

/** A complete answer, stored to be replayed for retries with the same key. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** How to proceed after an attempt broke. */
export type Recovery =
  /** Send this body to another target. */
  | { readonly type: 'ask'; readonly body: Uint8Array; readonly tokens: number }
  /** The answer is already complete. */
  | { readonly type: 'whole' }
  | { readonly type: 'impossible' };

const EVENT_STREAM = 'text/event-stream';
const END_MARKER = 'data: [DONE]';

/** Statuses of a target for which another target is tried. */
const RETRY_STATUSES = new Set([500, 502, 503, 504]);

/** Receives the events of a call's attempts, one attempt after the other, and writes one answer. */
export class Answer implements AttemptSink {
  private status = 0;
  private headers: readonly HeaderField[] = [];
  private streaming = false;
  private started = false;
  /** Whether a later attempt has a head that can't continue the answer already started. */
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

  /** Monotonic time of the first body byte since `expectFirstChunk` was called. */
  get firstChunkAt(): number | undefined {
    return this.firstChunkTime;
  }

  /** Called at the start of an attempt. `onFirstChunk` is called once, when the first body byte arrives. */
  expectFirstChunk(onFirstChunk: () => void): void {
    this.firstChunkTime = undefined;
    this.onFirstChunk = onFirstChunk;
  }

  /** Whether any byte of the answer was sent to the caller. */
  get hasStarted(): boolean {
    return this.started;
  }

  /** Whether the target answered with an error, or can't continue the started answer, so that another may be tried. */
  get hasTargetError(): boolean {
    return this.isIncompatible || (!this.started && RETRY_STATUSES.has(this.status));
  }

  /** Whether the end marker of a stream was sent: the caller has the complete answer even if the attempt breaks now. */
  get isEndMarkerSent(): boolean {
    return this.started && this.streaming && this.call.model !== undefined && this.endsWithMarker();
  }

  /** Status of the target's answer; 0 before its head arrived. */
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

  /** Completes the answer after the last event of an attempt. @returns a fault if the answer is incomplete. */
  finish(): Fault | undefined {
    const problem = this.checkComplete();
    if (problem !== undefined) return problem;
    if (this.streaming || this.started) this.reply.end();
    else this.reply.send(this.status, this.headers, Buffer.concat(this.holdBuffer.chunks), this.runState());
    return undefined;
  }

  /**
   * Decides how to proceed after an attempt broke, so that the caller neither misses nor repeatedly gets any output.
   */
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

  /** The complete answer for storing; undefined if it is larger than `limit` bytes. */
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
    // Too large to buffer: what has arrived is sent. From now on a break can only reset the caller's connection.
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
