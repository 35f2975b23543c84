/** Bodies of engine answers: forwarded in complete events, and ended only by their terminal marker. */
import { fault } from '@jasmineroute/core';
import type { Usage } from '../port/index.js';
import { EventScanner, MAX_EVENT_BYTES, dataOf } from '../sse/index.js';
import { FaultError } from '../wire/index.js';
import type { WireAnswer } from '../wire/index.js';
import { usageBody } from './schema.js';

/** Data of the event that ends a stream. */
export const DONE = '[DONE]';

/** Largest JSON answer that is parsed for its usage. */
const MAX_USAGE_BYTES = 1024 * 1024;

/** A body with its event count and usage. */
export interface EngineBody {
  readonly body: AsyncIterable<Uint8Array>;
  readonly events?: () => number;
  readonly usage: () => Usage | undefined;
}

function usageIn(text: string): Usage | undefined {
  try {
    const parsed = usageBody.safeParse(JSON.parse(text));
    if (!parsed.success) return undefined;
    const { prompt_tokens, completion_tokens, prompt_tokens_details } = parsed.data.usage;
    return {
      promptTokens: prompt_tokens,
      outputTokens: completion_tokens,
      cachedTokens: prompt_tokens_details?.cached_tokens ?? 0,
    };
  } catch {
    return undefined;
  }
}

/**
 * Body of an event stream. The end of the connection doesn't end the stream: an engine that dies may close its connections
 * cleanly, and without the check the caller would take half an answer for a complete one.
 */
export function eventBody(answer: WireAnswer): EngineBody {
  const body = new EventBody(answer.body[Symbol.asyncIterator]());
  return { body, events: () => body.scanner.events, usage: () => body.usage() };
}

/** A class and not a generator for speed: every token passes through it. */
class EventBody implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array, undefined> {
  readonly scanner = new EventScanner();
  private done = false;

  constructor(private readonly source: AsyncIterator<Uint8Array>) {}

  [Symbol.asyncIterator](): this {
    return this;
  }

  async next(): Promise<IteratorResult<Uint8Array, undefined>> {
    while (!this.done) {
      const read = await this.source.next();
      if (read.done === true) throw truncated('the stream ended before its terminal marker');
      const { bytes, events } = this.scanner.push(read.value);
      if (this.scanner.pending > MAX_EVENT_BYTES) throw tooLarge();
      if (events > 0) this.done = isDone(this.scanner.last);
      if (bytes.length > 0) return { done: false, value: bytes };
    }
    return this.return();
  }

  /** Ends the source without waiting for anything after the marker. */
  async return(): Promise<IteratorResult<Uint8Array, undefined>> {
    await this.source.return?.();
    return { done: true, value: undefined };
  }

  usage(): Usage | undefined {
    return this.done ? usageIn(dataOf(this.scanner.beforeLast)) : undefined;
  }
}

/** Longest event that can be the terminal marker, with room for an id line. */
const MAX_MARKER_BYTES = 64;

function isDone(event: Uint8Array): boolean {
  return event.length <= MAX_MARKER_BYTES && dataOf(event) === DONE;
}

/** Body of an answer that is not an event stream, JSON or not. */
export function nonStreamBody(answer: WireAnswer, isJsonType: boolean): EngineBody {
  const chunks: Uint8Array[] = [];
  let size = 0;
  async function* read(): AsyncGenerator<Uint8Array> {
    for await (const chunk of answer.body) {
      size += chunk.length;
      if (isJsonType && size <= MAX_USAGE_BYTES) chunks.push(chunk);
      yield chunk;
    }
    if (answer.isFramed) return;
    if (!isJsonType || size > MAX_USAGE_BYTES || !isJson(Buffer.concat(chunks))) {
      throw truncated('the answer has no length, so it may be truncated');
    }
  }
  const usage = (): Usage | undefined =>
    isJsonType && size <= MAX_USAGE_BYTES ? usageIn(Buffer.concat(chunks).toString()) : undefined;
  return { body: read(), usage };
}

function isJson(bytes: Buffer): boolean {
  try {
    JSON.parse(bytes.toString());
    return true;
  } catch {
    return false;
  }
}

function truncated(message: string): FaultError {
  return new FaultError(fault('stream-broken', message));
}

function tooLarge(): FaultError {
  return new FaultError(fault('engine-failed', `an event of more than ${MAX_EVENT_BYTES} bytes`));
}
