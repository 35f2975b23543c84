/** The shapes that the parts of one call's work share. */
import type { Fault, HopSpan, Ran } from '@jasmineroute/core';
import type { Job } from '@jasmineroute/routing';
import type { Call } from '../call/index.js';
import type { AttemptName } from '../gate/index.js';
import type { Reply } from '../http/reply.js';
import type { Placement } from './decisions.js';

/** The call that attempts are made for. */
export interface Subject {
  readonly call: Call;
  readonly reply: Reply;
  readonly span: HopSpan;
  /** Aborts when the call is given up: the caller hung up, or the deadline passed. */
  readonly stop: AbortSignal;
  /** Milliseconds until the deadline, at least 1. */
  readonly remaining: () => number;
}

/** What the next attempt asks for. */
export interface Plan {
  readonly body: Uint8Array;
  /** Output tokens that the caller has. */
  readonly tokens: number;
}

/** What comes after an attempt: another one, or nothing. */
export type Step = Plan | undefined;

/** One attempt at a chosen target. */
export interface Sending {
  readonly plan: Plan;
  readonly job: Job;
  readonly placement: Placement;
  readonly name: AttemptName;
}

/** What may follow an attempt that did not give the whole answer. */
export interface Aftermath {
  /** Goes on elsewhere where that is allowed, else gives up. */
  again(problem: Fault, sending: Sending): Step;
  /** Gives the caller the fault. */
  fail(problem: Fault): Step;
  /** Whether another attempt is allowed; takes it off the retry budget. */
  mayRetry(kind: Fault['kind']): boolean;
}

const rank: Record<Ran, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/** What is known of a request of which two attempts are known. */
export function worse(one: Ran, other: Ran): Ran {
  return rank[one] >= rank[other] ? one : other;
}
