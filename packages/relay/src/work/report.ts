/** Log records of a request's attempts and refusals: the inputs of the decision, their age, and the outcome. */
import type { CallerAnswer } from '../answer/index.js';
import type { AddedFields } from '../dialect/index.js';
import type { Placement } from '../placement/index.js';
import type { Job } from './attempt.js';
import type { ForwardOutcome } from './forward.js';
import type { Sending } from './sending.js';
import type { Stream } from './stream.js';

/** One finished attempt of a request. */
export interface Attempt {
  readonly job: Job;
  readonly placement: Placement;
  readonly sending: Sending;
  readonly addedFields: AddedFields;
  readonly outcome: ForwardOutcome;
  /** Status of the target's answer; 0 if there was none. */
  readonly status: number;
  /** Number of the attempt, from 1. */
  readonly send: number;
  /** Until the target's answer began; undefined: it did not. */
  readonly headMs?: number;
  readonly tookMs: number;
}

/** Fields of the log line for an attempt. */
export function attemptRecord(
  { job, placement, sending, addedFields, outcome, status, send, headMs, tookMs }: Attempt,
  stream: Stream,
  answer: CallerAnswer,
): Record<string, unknown> {
  const { target, ...decision } = placement;
  const { firstByteMs } = answer;
  const { waitedMs, targetState } = sending;
  return {
    request: job.request.id,
    route: job.route.name,
    customer: job.customer?.name,
    parts: job.sent.parts.length > 0 ? job.sent.parts : undefined,
    target: target.id,
    softwareVersion: target.softwareVersion,
    resumes: job.request.resumes,
    resumesAfter: addedFields.lastEventId,
    ...decision,
    send,
    waitedMs: waitedMs === undefined ? undefined : Math.round(waitedMs),
    targetState,
    deadlineMs: Math.round(addedFields.deadlineMs),
    outcome: 'fault' in outcome ? outcome.fault.kind : outcome.state,
    problem: 'fault' in outcome ? outcome.fault.message : undefined,
    status,
    source: addedFields.cacheSource,
    copied: addedFields.cacheCopy !== undefined,
    left: outcome.state === 'left' ? outcome.reason : undefined,
    events: stream.lastEventId,
    pauseMs: Math.round(stream.pauseMs),
    headMs: headMs === undefined ? undefined : Math.round(headMs),
    tookMs: Math.round(tookMs),
    firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
    ageMs: Math.round(answer.age()),
  };
}

/** Message for a request rejected because of overload, with the numbers that decided it. */
export const overloadMessage = ({ target, load, waiting, queueMs, expectedMs }: Placement): string =>
  `all targets are overloaded: the best one, ${target.id}, has ${load} requests with ${waiting ?? 0} tokens to read, ` +
  `a queue of ${queueMs ?? 0} ms, and an expected time to first token of ${expectedMs ?? 0} ms`;
