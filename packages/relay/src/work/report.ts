/** What is logged of a request's sendings and refusals: the inputs that decided, their age, and the outcome. */
import type { CallerAnswer } from '../answer/index.js';
import type { Addition } from '../dialect/index.js';
import type { Placement } from '../placement/index.js';
import type { Job } from './attempt.js';
import type { Outcome } from './pass.js';
import type { Stream } from './stream.js';

/** One sending of a request that is over. */
export interface Sending {
  readonly job: Job;
  readonly placement: Placement;
  readonly addition: Addition;
  readonly outcome: Outcome;
  /** Status of the target's answer; 0: none. */
  readonly status: number;
  /** Which sending of the request it was, from 1. */
  readonly send: number;
  readonly tookMs: number;
}

/** Fields of the line that is logged for each sending. */
export function sendingReport(
  { job, placement, addition, outcome, status, send, tookMs }: Sending,
  stream: Stream,
  answer: CallerAnswer,
): Record<string, unknown> {
  const { target, ...decision } = placement;
  const { firstByteMs } = answer;
  return {
    request: job.request.id,
    route: job.route.name,
    customer: job.customer?.name,
    target: target.id,
    ...decision,
    send,
    deadlineMs: Math.round(addition.deadlineMs),
    outcome: outcome.state === 'answered' ? 'answered' : outcome.fault.kind,
    problem: outcome.state === 'answered' ? undefined : outcome.fault.message,
    status,
    source: addition.cacheSource,
    copied: addition.cacheCopy !== undefined,
    events: stream.lastEventId,
    pauseMs: Math.round(stream.pauseMs),
    tookMs: Math.round(tookMs),
    firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
    ageMs: Math.round(answer.age()),
  };
}

/** What the refusal of an overrun service was decided on. */
export const overrunText = ({ target, load, waiting, queueMs, expectedMs }: Placement): string =>
  `all targets are overrun: the best, ${target.id}, has ${load} requests with ${waiting ?? 0} tokens to read, ` +
  `which take ${queueMs ?? 0} ms, and a first token would take ${expectedMs ?? 0} ms`;
