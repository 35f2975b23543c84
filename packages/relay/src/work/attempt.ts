/** One sending of a request to one target, and what came of it. */
import type { Customer, Route, Service } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { exchange } from '@jasmineroute/engine';
import type { WireAnswer } from '@jasmineroute/engine';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { PROMISES } from '../answer/index.js';
import type { Addition, AnswerMarks, RelayRequest } from '../dialect/index.js';
import type { Target } from '@jasmineroute/knowledge';
import { connectionShare } from '../target/index.js';
import type { RelayContext } from './context.js';

/** A request with everything that was found out about it. */
export interface Job {
  readonly request: RelayRequest;
  readonly body: Uint8Array;
  readonly route: Route;
  readonly service: Service;
  readonly customer?: Customer;
  /** Monotonic time at which the caller may be gone at the earliest: nothing begins after it. */
  readonly until: number;
}

/** A target's answer whose head fits the request. */
export interface TargetAnswer {
  readonly wire: WireAnswer;
  readonly marks: AnswerMarks;
}

const SUCCESS = 200;
const REDIRECT = 300;

/** Sends a request. The answer's body must be read to its end or abandoned. */
export async function send(
  context: RelayContext,
  job: Job,
  target: Target,
  addition: Addition,
  signal: AbortSignal,
): Promise<Result<TargetAnswer, Fault>> {
  const { dialect, pools, knowledge, sights, clock, stalls } = context;
  const { request, service, body } = job;
  const most = connectionShare(service.maxConnections, knowledge.entries());
  const { method, path } = request;
  const headers = dialect.targetHeaders(request, addition);
  const wireRequest = { method, path, headers, body };
  const wire = await exchange(pools.of(target, most).pool(), wireRequest, clock, signal, stalls);
  if (wire.isErr()) {
    const { kind } = wire.error;
    if (kind === 'target-unreachable' || kind === 'target-lost') sights.failed(target.id);
    return err(wire.error);
  }
  sights.heard(target.id);
  return judged(context, request, target, wire.value);
}

/** Whether an answer belongs to the request, and whether it says that the request did not run. */
function judged(
  context: RelayContext,
  request: RelayRequest,
  target: Target,
  wire: WireAnswer,
): Result<TargetAnswer, Fault> {
  const { dialect, sights, knowledge } = context;
  const marks = dialect.readAnswer(wire.status, wire.headers);
  if (marks.load !== undefined) sights.told(target.id, marks.load);
  const refuse = (problem: Fault): Result<TargetAnswer, Fault> => {
    wire.abandon();
    return err(problem);
  };
  // An answer that came late, in the place of this request's, says nothing of this request.
  if (marks.requestId !== undefined && marks.requestId !== request.id) {
    sights.failed(target.id);
    return refuse(fault('answer-mismatch', 'the target answered another request'));
  }
  if (marks.otherTargetName !== undefined && marks.otherTargetName !== target.name && marks.notRun) {
    knowledge.targets.replaced(target.id);
    return refuse(fault('wrong-incarnation', `the address belongs to ${marks.otherTargetName} now`));
  }
  if (marks.notRun) {
    sights.refused(target.id);
    return refuse(fault('overloaded', `the target refused with ${wire.status}`));
  }
  const isSuccess = wire.status >= SUCCESS && wire.status < REDIRECT;
  if (isSuccess && (marks.requestId === undefined || !marks.signed)) {
    sights.failed(target.id);
    return refuse(fault('answer-mismatch', 'a success without id or signature'));
  }
  // The status would promise the caller what the target has not stated.
  if (PROMISES.has(wire.status)) {
    return refuse(fault('engine-failed', `${wire.status} without the statement that nothing ran`));
  }
  return ok({ wire, marks });
}
