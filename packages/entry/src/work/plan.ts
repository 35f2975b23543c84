/** The shapes that the parts of one call's work share. */
import type { Fault, HopSpan, Ran } from '@jasmineroute/core';
import type { Job } from '@jasmineroute/routing';
import type { Call } from '../call/index.js';
import type { AttemptRef } from '../gate/index.js';
import type { Reply } from '../http/reply.js';
import type { Placement } from './decisions.js';

/** The call that attempts are made for. */
export interface ActiveCall {
  readonly call: Call;
  readonly reply: Reply;
  readonly span: HopSpan;
  /** Aborts when the call is given up: the caller hung up, or the deadline passed. */
  readonly stop: AbortSignal;
  /** Milliseconds until the deadline, at least 1. */
  readonly remaining: () => number;
}

/** What the next attempt asks for. */
export interface AttemptPlan {
  readonly body: Uint8Array;
  /** Output tokens that the caller has. */
  readonly tokens: number;
}

/** What comes after an attempt: another one, or nothing. */
export type NextAttempt = AttemptPlan | undefined;

/** One attempt at a chosen target. */
export interface PlacedAttempt {
  readonly plan: AttemptPlan;
  readonly job: Job;
  readonly placement: Placement;
  readonly ref: AttemptRef;
}

/** What may follow an attempt that did not give the whole answer. */
export interface FailureHandler {
  /** Goes on elsewhere where that is allowed, else gives up. */
  retryOrFail(problem: Fault, attempt: PlacedAttempt): NextAttempt;
  /** Gives the caller the fault. */
  fail(problem: Fault): NextAttempt;
  /** Whether another attempt is allowed; takes it off the retry budget. */
  mayRetry(kind: Fault['kind']): boolean;
}

const runStateRank: Record<Ran, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/** What is known of a request of which two attempts are known. */
export function combineRunStates(one: Ran, other: Ran): Ran {
  return runStateRank[one] >= runStateRank[other] ? one : other;
}
