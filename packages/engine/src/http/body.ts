/** Bodies of engine answers: passed on in whole events, and ended only by their terminal marker. */
import { fault } from '@jasmineroute/core';
import type { Usage } from '../port/index.js';
import { EventScanner, MAX_EVENT_BYTES, dataOf } from '../sse/index.js';
import { FaultError } from '../wire/index.js';
import type { WireAnswer } from '../wire/index.js';
import { usageBody } from './schema.js';

/** Data of the event that ends a stream. */
export const DONE = '[DONE]';

/** Largest JSON answer that is looked into for its usage. */
const MAX_USAGE_BYTES = 1024 * 1024;

/** A body with what is known of it on the way. */
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
 * A stream of events. The connection's end is not the stream's: an engine that dies may close its
 * connections in good order, and without the check the caller would take half an answer for a whole one.
 */
export function eventBody(answer: WireAnswer): EngineBody {
  const scanner = new EventScanner();
  let done = false;
  async function* read(): AsyncGenerator<Uint8Array> {
    for await (const chunk of answer.body) {
      const slice = scanner.push(chunk);
      if (scanner.pending > MAX_EVENT_BYTES) throw tooLarge();
      if (slice.events > 0) done ||= dataOf(scanner.last) === DONE;
      if (slice.bytes.length > 0) yield slice.bytes;
      if (done) return;
    }
    throw cut('the stream ended before its terminal marker');
  }
  return {
    body: read(),
    events: () => scanner.events,
    usage: () => (done ? usageIn(dataOf(scanner.beforeLast)) : undefined),
  };
}

/** An answer in one piece, JSON or not. */
export function wholeBody(answer: WireAnswer, json: boolean): EngineBody {
  const kept: Uint8Array[] = [];
  let size = 0;
  async function* read(): AsyncGenerator<Uint8Array> {
    for await (const chunk of answer.body) {
      size += chunk.length;
      if (json && size <= MAX_USAGE_BYTES) kept.push(chunk);
      yield chunk;
    }
    if (answer.framed) return;
    if (!json || size > MAX_USAGE_BYTES || !isJson(Buffer.concat(kept))) {
      throw cut('the answer has no length, so its end cannot be told from a cut');
    }
  }
  const usage = (): Usage | undefined =>
    json && size <= MAX_USAGE_BYTES ? usageIn(Buffer.concat(kept).toString()) : undefined;
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

function cut(message: string): FaultError {
  return new FaultError(fault('stream-broken', message));
}

function tooLarge(): FaultError {
  return new FaultError(fault('engine-failed', `an event of more than ${MAX_EVENT_BYTES} bytes`));
}
