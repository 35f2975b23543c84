/** Forwards answers of targets that are not streams to callers. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { brokenStreamFault, headerOf } from '@jasmineroute/engine';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallerAnswer } from '../answer/index.js';
import type { TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';

/** Answers up to this size in bytes are buffered in full, so that another attempt can replace one that breaks off. */
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/** Outcome of one attempt. */
export type Outcome =
  | { readonly state: 'answered' }
  /** An error answer of the target, which is forwarded if no other attempt succeeds. */
  | { readonly state: 'failure'; readonly answer: () => void; readonly fault: Fault }
  | { readonly state: 'fault'; readonly fault: Fault };

/** The outcome for an answer that broke off after the request may have run. */
export function interrupted(problem: Fault): Outcome {
  return { state: 'fault', fault: { ...problem, ran: 'may-have-run' } };
}

/** Buffers an error answer, to be forwarded if no other attempt succeeds. */
export async function bufferFailure(
  { dialect }: RelayContext,
  answer: CallerAnswer,
  { wire }: TargetAnswer,
): Promise<Outcome> {
  const body = await readWholeBody(wire.body);
  if (body.isErr()) return { state: 'fault', fault: body.error };
  const headers = dialect.callerHeaders(wire.headers);
  return {
    state: 'failure',
    fault: fault('engine-failed', `the target answered ${wire.status}`, { ran: 'ran' }),
    answer: () => {
      answer.whole(wire.status, headers, body.value);
    },
  };
}

/** Forwards an answer. It is buffered in full before any of it is sent, unless it is large. */
export async function forwardAnswer(
  { dialect }: RelayContext,
  answer: CallerAnswer,
  { wire }: TargetAnswer,
): Promise<Outcome> {
  const headers = dialect.callerHeaders(wire.headers);
  const length = Number(headerOf(wire.headers, 'content-length') ?? Number.NaN);
  if (length > MAX_BUFFERED_ANSWER_BYTES) return forwardChunks(answer, wire, headers);
  const body = await readWholeBody(wire.body);
  if (body.isErr()) return { state: 'fault', fault: body.error };
  answer.whole(wire.status, headers, body.value);
  return { state: 'answered' };
}

async function forwardChunks(
  answer: CallerAnswer,
  wire: TargetAnswer['wire'],
  headers: Parameters<CallerAnswer['begin']>[1],
): Promise<Outcome> {
  answer.begin(wire.status, headers);
  try {
    for await (const chunk of wire.body) await answer.write(chunk);
  } catch (error) {
    return interrupted(brokenStreamFault(error));
  }
  answer.end();
  return { state: 'answered' };
}

async function readWholeBody(body: AsyncIterable<Uint8Array>): Promise<Result<Uint8Array, Fault>> {
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of body) chunks.push(chunk);
  } catch (error) {
    return err(brokenStreamFault(error));
  }
  return ok(Buffer.concat(chunks));
}
