/** Forwards answers of targets that are not streams to callers. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { FaultError, brokenStreamFault, headerOf } from '@jasmineroute/engine';
import { AnswerBuffer, MAX_HELD_ANSWER_BYTES } from '../answer/index.js';
import type { CallerAnswer } from '../answer/index.js';
import type { TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';

/** Outcome of one attempt. */
export type Outcome =
  | { readonly state: 'answered' }
  /** An error answer of the target, which is forwarded if no other attempt succeeds. */
  | { readonly state: 'failure'; readonly answer: () => void; readonly fault: Fault }
  | { readonly state: 'fault'; readonly fault: Fault };

/** Why a stream looks for another target: its own is announced as paused, or nothing comes from it any more. */
export type MoveReason = 'paused' | 'unresponsive';

/** Why a stream left its target: as above, or its answer broke off while another one was asked. */
export type LeaveReason = MoveReason | 'lost';

/** Outcome of forwarding one target's answer. */
export type ForwardOutcome =
  | Outcome
  /** Another target has taken the stream over. */
  | { readonly state: 'left'; readonly reason: LeaveReason };

/** The outcome for an answer that broke off after the request may have run. */
export function interrupted(problem: Fault): Outcome {
  return { state: 'fault', fault: { ...problem, ran: 'may-have-run' } };
}

/** Buffers an error answer, to be forwarded if no other attempt succeeds. */
export async function bufferFailure(
  { dialect, answerBudget }: RelayContext,
  answer: CallerAnswer,
  { wire }: TargetAnswer,
): Promise<Outcome> {
  const buffer = new AnswerBuffer(answerBudget);
  try {
    for await (const chunk of wire.body) if (!buffer.tryAdd(chunk)) throw tooLarge(wire.status);
  } catch (error) {
    buffer.release();
    return { state: 'fault', fault: brokenStreamFault(error) };
  }
  const headers = dialect.callerHeaders(wire.headers);
  const body = buffer.take();
  // Another attempt may succeed, and nobody asks for this one then.
  buffer.release();
  return {
    state: 'failure',
    fault: fault('engine-failed', `the target answered ${wire.status}`, { ran: 'ran' }),
    answer: () => {
      answer.whole(wire.status, headers, body);
    },
  };
}

const tooLarge = (status: number): FaultError =>
  new FaultError(
    fault('answer-mismatch', `the target answered ${status} with more than is held of a failure`, {
      ran: 'ran',
    }),
  );

async function writeHeld(answer: CallerAnswer, buffer: AnswerBuffer): Promise<void> {
  await answer.write(buffer.take());
  buffer.release();
}

/**
 * Forwards an answer. It is held until it is complete before any of it is sent, unless it is large: then it is sent as it
 * comes, at the pace of the caller.
 */
export async function forwardAnswer(
  { dialect, answerBudget }: RelayContext,
  answer: CallerAnswer,
  { wire }: TargetAnswer,
): Promise<Outcome> {
  const headers = dialect.callerHeaders(wire.headers);
  const length = Number(headerOf(wire.headers, 'content-length') ?? Number.NaN);
  const buffer = new AnswerBuffer(answerBudget);
  let isHeld = !(length > MAX_HELD_ANSWER_BYTES);
  if (!isHeld) answer.begin(wire.status, headers);
  try {
    for await (const chunk of wire.body) {
      if (isHeld && buffer.tryAdd(chunk)) continue;
      if (isHeld) answer.begin(wire.status, headers);
      if (isHeld) await writeHeld(answer, buffer);
      isHeld = false;
      await answer.write(chunk);
    }
  } catch (error) {
    buffer.release();
    const problem = brokenStreamFault(error);
    return isHeld ? { state: 'fault', fault: problem } : interrupted(problem);
  }
  if (isHeld) answer.whole(wire.status, headers, buffer.take(), buffer.release);
  else answer.end();
  return { state: 'answered' };
}
