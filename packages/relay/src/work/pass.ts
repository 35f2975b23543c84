/** Answers of targets that are not streams, passed on to callers. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { broken, headerOf } from '@jasmineroute/engine';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallerAnswer } from '../answer/index.js';
import type { TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';

/** Answers up to this size, bytes, are held until whole, so that a break can be mended by another attempt. */
const HELD_BYTES = 256 * 1024;

/** What came of one attempt. */
export type Outcome =
  | { readonly state: 'answered' }
  /** A failure of the target's own, which may be passed on if nothing better comes. */
  | { readonly state: 'failure'; readonly answer: () => void; readonly fault: Fault }
  | { readonly state: 'fault'; readonly fault: Fault };

/** An answer that broke after the request may have run. */
export function brokenOff(problem: Fault): Outcome {
  return { state: 'fault', fault: { ...problem, ran: 'may-have-run' } };
}

/** Reads a failure whole, to be passed on if no other attempt does better. */
export async function passFailure(
  { dialect }: RelayContext,
  answer: CallerAnswer,
  { wire }: TargetAnswer,
): Promise<Outcome> {
  const body = await wholeBody(wire.body);
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

/** Passes an answer on: read whole before any of it goes out, unless it is large. */
export async function passAnswer(
  { dialect }: RelayContext,
  answer: CallerAnswer,
  { wire }: TargetAnswer,
): Promise<Outcome> {
  const headers = dialect.callerHeaders(wire.headers);
  const length = Number(headerOf(wire.headers, 'content-length') ?? Number.NaN);
  if (length > HELD_BYTES) return passPieces(answer, wire, headers);
  const body = await wholeBody(wire.body);
  if (body.isErr()) return { state: 'fault', fault: body.error };
  answer.whole(wire.status, headers, body.value);
  return { state: 'answered' };
}

async function passPieces(
  answer: CallerAnswer,
  wire: TargetAnswer['wire'],
  headers: Parameters<CallerAnswer['begin']>[1],
): Promise<Outcome> {
  answer.begin(wire.status, headers);
  try {
    for await (const piece of wire.body) await answer.write(piece);
  } catch (error) {
    return brokenOff(broken(error));
  }
  answer.end();
  return { state: 'answered' };
}

async function wholeBody(body: AsyncIterable<Uint8Array>): Promise<Result<Uint8Array, Fault>> {
  const parts: Uint8Array[] = [];
  try {
    for await (const part of body) parts.push(part);
  } catch (error) {
    return err(broken(error));
  }
  return ok(Buffer.concat(parts));
}
