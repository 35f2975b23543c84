/** Types that the modules handling one call share. */
import type { Fault, HopSpan, Ran } from '@jasmineroute/core';
import type { Job } from '@jasmineroute/routing';
import type { Call } from '../call/index.js';
import type { AttemptRef } from '../gate/index.js';
import type { Reply } from '../http/reply.js';
import type { Placement } from './decisions.js';

/** A call in progress. */
export interface ActiveCall {
  readonly call: Call;
  readonly reply: Reply;
  readonly span: HopSpan;
  /** Aborts when the call is abandoned: the caller disconnected, or the deadline passed. */
  readonly stop: AbortSignal;
  /** Milliseconds until the deadline, at least 1. */
  readonly remainingMs: () => number;
}

/** The request body of the next attempt. */
export interface AttemptPlan {
  readonly body: Uint8Array;
  /** Output tokens that the caller already has. */
  readonly tokens: number;
}

/** What follows an attempt: another attempt, or nothing (undefined). */
export type NextAttempt = AttemptPlan | undefined;

/** One attempt on a chosen target. */
export interface PlacedAttempt {
  readonly plan: AttemptPlan;
  readonly job: Job;
  readonly placement: Placement;
  readonly ref: AttemptRef;
}

/** Decides what follows an attempt that did not give the complete answer. */
export interface FailureHandler {
  /** Retries on another target where that is allowed; otherwise fails the call. */
  retryOrFail(problem: Fault, attempt: PlacedAttempt): NextAttempt;
  /** Answers the caller with the fault. */
  fail(problem: Fault): NextAttempt;
  /** Whether another attempt is allowed. If so, withdraws it from the retry budget. */
  mayRetry(kind: Fault['kind']): boolean;
}

const runStateRank: Record<Ran, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/** The run state of a request with two attempts: the one of them that is further from "not run". */
export function combineRunStates(one: Ran, other: Ran): Ran {
  return runStateRank[one] >= runStateRank[other] ? one : other;
}
