/** Checks of a run before it is sent to the target. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { gateMessage } from '@jasmineroute/protocol';
import type { GateTarget } from './gateTarget.js';

/** The weights that a run needs. */
export type RequiredWeights = Pick<gateMessage.RunRequest, 'model' | 'adapter' | 'weightsVersion'>;

/** Returns a fault when the run must not be sent. All faults say that it has not run. */
type Check = (target: GateTarget, request: gateMessage.RunRequest) => Fault | undefined;

/** Whether the required weights are loaded and accept runs. */
export function isLoaded(target: GateTarget, required: RequiredWeights): boolean {
  if (target.kind === 'plain') return true;
  const model = target.models().find((loaded) => loaded.model === required.model);
  if (model === undefined) return false;
  if (required.weightsVersion !== '' && model.version !== required.weightsVersion) return false;
  return required.adapter === '' || model.adapters.some(({ name }) => name === required.adapter);
}

const checkNotLeaving: Check = (target) =>
  target.leaving() ? fault('target-leaving', 'the target is leaving and accepts no new runs') : undefined;

const checkService: Check = (target, request) =>
  request.service === target.service
    ? undefined
    : fault('no-target', `this target belongs to service ${target.service}`);

const checkReady: Check = (target) =>
  target.ready() ? undefined : fault('target-unreachable', 'the target is not ready');

/**
 * Guards against a restart since the routing decision: a restarted engine has lost the cache that the decision
 * counted on, and a restarted agent no longer knows which attempts were cancelled.
 */
const checkIncarnation: Check = (target, request) =>
  request.incarnation === target.incarnation()
    ? undefined
    : fault('wrong-incarnation', 'the target has restarted since the decision');

const checkModel: Check = (target, request) =>
  isLoaded(target, request)
    ? undefined
    : fault(
        'model-not-loaded',
        `${request.model} ${request.adapter} ${request.weightsVersion} is not loaded`,
      );

const checkDeadline: Check = (_target, request) =>
  request.deadlineMs > 0 ? undefined : fault('deadline-unmeetable', 'the deadline has passed');

const arrivalChecks: readonly Check[] = [
  checkNotLeaving,
  checkService,
  checkReady,
  checkIncarnation,
  checkModel,
  checkDeadline,
];

/** A leaving target still runs what it accepted before, so that check is left out. */
const dispatchChecks: readonly Check[] = [checkReady, checkIncarnation, checkModel];

function firstFault(checks: readonly Check[], target: GateTarget, request: gateMessage.RunRequest) {
  for (const check of checks) {
    const found = check(target, request);
    if (found !== undefined) return found;
  }
  return undefined;
}

/** Checks a run on arrival. */
export function checkArrival(target: GateTarget, request: gateMessage.RunRequest): Fault | undefined {
  return firstFault(arrivalChecks, target, request);
}

/** Checks a run again after it has waited in the queue. */
export function checkDispatch(target: GateTarget, request: gateMessage.RunRequest): Fault | undefined {
  return firstFault(dispatchChecks, target, request);
}
