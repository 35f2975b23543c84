/** Sends a request to one target and checks its answer. */
import type { Customer, Route, Service } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Fault, FaultKind } from '@jasmineroute/core';
import { exchange } from '@jasmineroute/engine';
import type { Connections, WireAnswer } from '@jasmineroute/engine';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { NOT_RUN_STATUSES } from '../answer/index.js';
import type { AddedFields, AnswerMetadata, RelayRequest } from '../dialect/index.js';
import type { Target } from '@jasmineroute/knowledge';
import type { SentRequest } from '../quarantine/index.js';
import { connectionShare } from '../target/index.js';
import { wholeMs } from './addedFields.js';
import type { RelayContext } from './context.js';
import type { Sending } from './sending.js';

/** A request with its route, service and customer. */
export interface Job {
  readonly request: RelayRequest;
  readonly body: Uint8Array;
  readonly route: Route;
  readonly service: Service;
  readonly customer?: Customer;
  readonly sent: SentRequest;
  /** Monotonic time at which the request arrived at this entry. */
  readonly arrivedAt: number;
  /** Earliest monotonic time at which the caller may stop waiting: no attempt starts after it. */
  readonly until: number;
}

/** A target's answer whose status and headers match the request. */
export interface TargetAnswer {
  readonly wire: WireAnswer;
  readonly metadata: AnswerMetadata;
}

const SUCCESS = 200;
const REDIRECT = 300;

/** Faults of attempts whose request was not written to the target. */
export const neverReached: ReadonlySet<FaultKind> = new Set<FaultKind>([
  'target-unreachable',
  'target-leaving',
]);

/** The fields that are added to a request, by the configuration that is in force when they are asked for. */
export interface CurrentFields {
  readonly current: () => AddedFields;
  /** Whether those that were returned last are still the current ones. */
  readonly isCurrent: () => boolean;
}

/** Sends a request. The caller must read the answer's body to its end or abandon it. */
export async function send(
  context: RelayContext,
  job: Job,
  sending: Sending,
  fields: CurrentFields,
  signal: AbortSignal,
): Promise<Result<TargetAnswer, Fault>> {
  const { pools, knowledge, monitor } = context;
  const { request, service } = job;
  const { target } = sending;
  const maxConnections = connectionShare(service.maxConnections, knowledge.entries());
  const { connections, queue } = pools.poolFor(target, maxConnections);
  const granted = await sending.waitForConnection(queue, job.arrivedAt, signal);
  if (granted.isErr()) return err(granted.error);
  const wire = await writeCurrent(context, job, sending, connections, fields, signal);
  if (wire.isErr()) {
    const { kind } = wire.error;
    if (kind === 'target-unreachable' || kind === 'target-lost') monitor.recordFailure(target.id);
    return err(wire.error);
  }
  monitor.recordActivity(target.id);
  return checkAnswer(context, request, target, wire.value);
}

/** Writes a request with the fields that are current when its first byte is due: it is formed before its connection is open. */
async function writeCurrent(
  context: RelayContext,
  job: Job,
  sending: Sending,
  connections: Connections,
  fields: CurrentFields,
  signal: AbortSignal,
): Promise<Result<WireAnswer, Fault>> {
  for (;;) {
    const state = { isOutdated: false };
    const check = (): Fault | undefined => {
      state.isOutdated = !fields.isCurrent();
      return state.isOutdated ? fault('target-unreachable', 'the fields are outdated') : sending.check();
    };
    const wire = await write(context, job, connections, fields.current(), check, signal);
    if (!state.isOutdated) return wire;
  }
}

/** Writes a request to its connection. Not async, so that nothing keeps its fields while the answer is waited for. */
function write(
  { dialect, clock, stalls }: RelayContext,
  { request, body, until }: Job,
  connections: Connections,
  addedFields: AddedFields,
  beforeSend: () => Fault | undefined,
  signal: AbortSignal,
): Promise<Result<WireAnswer, Fault>> {
  const { method, path } = request;
  // The wait for the connection counts against the request's time.
  const deadlineMs = Math.min(addedFields.deadlineMs, wholeMs(until - clock.monotonic()));
  const headers = dialect.targetHeaders(request, { ...addedFields, deadlineMs });
  return exchange(connections.pool(), { method, path, headers, body, beforeSend }, clock, signal, stalls);
}

/** Checks that an answer belongs to the request, and whether it states that the request did not run. */
function checkAnswer(
  context: RelayContext,
  request: RelayRequest,
  target: Target,
  wire: WireAnswer,
): Result<TargetAnswer, Fault> {
  const { dialect, monitor, knowledge } = context;
  const metadata = dialect.readAnswer(wire.status, wire.headers);
  if (metadata.load !== undefined) monitor.recordLoad(target.id, metadata.load);
  const reject = (problem: Fault): Result<TargetAnswer, Fault> => {
    wire.abandon();
    return err(problem);
  };
  // A late answer to an earlier request says nothing about this request.
  if (metadata.requestId !== undefined && metadata.requestId !== request.id)
    return reject(fault('answer-mismatch', 'the target sent the answer to another request'));
  if (metadata.otherTargetName !== undefined && metadata.otherTargetName !== target.name && metadata.notRun) {
    knowledge.targets.replaced(target.id);
    return reject(fault('wrong-incarnation', `the address now belongs to ${metadata.otherTargetName}`));
  }
  if (metadata.notRun) {
    monitor.recordRefusal(target.id);
    return reject(fault('overloaded', `the target refused the request with status ${wire.status}`));
  }
  const isSuccess = wire.status >= SUCCESS && wire.status < REDIRECT;
  if (isSuccess && (metadata.requestId === undefined || !metadata.signed))
    return reject(fault('answer-mismatch', 'successful answer without a request id or signature'));
  // This status would tell the caller that the request did not run, which the target has not stated.
  if (NOT_RUN_STATUSES.has(wire.status)) {
    return reject(
      fault(
        'engine-failed',
        `the target answered ${wire.status} without stating that the request did not run`,
      ),
    );
  }
  return ok({ wire, metadata });
}
