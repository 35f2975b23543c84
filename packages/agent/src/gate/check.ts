/** The checks that a run passes before anything is sent to the target. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { gateMessage } from '@jasmineroute/protocol';
import type { GateTarget } from './target.js';

/** What a run needs loaded. */
export type Wanted = Pick<gateMessage.RunRequest, 'model' | 'adapter' | 'weightsVersion'>;

/** A check: a fault, all of them proved not run, or nothing. */
type Check = (target: GateTarget, request: gateMessage.RunRequest) => Fault | undefined;

/** Whether the wanted weights are loaded and take work. */
export function isLoaded(target: GateTarget, wanted: Wanted): boolean {
  if (target.kind === 'plain') return true;
  const model = target.models().find((loaded) => loaded.model === wanted.model);
  if (model === undefined) return false;
  if (wanted.weightsVersion !== '' && model.version !== wanted.weightsVersion) return false;
  return wanted.adapter === '' || model.adapters.some(({ name }) => name === wanted.adapter);
}

const checkLeaving: Check = (target) =>
  target.leaving() ? fault('target-leaving', 'the target is leaving') : undefined;

const checkService: Check = (target, request) =>
  request.service === target.service
    ? undefined
    : fault('no-target', `this target belongs to service ${target.service}`);

const checkReady: Check = (target) =>
  target.ready() ? undefined : fault('target-unreachable', 'the target is not ready');

/**
 * Goes wrong without it: the entry decided for an engine that has restarted since, and the run would be
 * billed to a cache that is gone; or the agent has restarted and no longer knows what it cancelled.
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
  checkLeaving,
  checkService,
  checkReady,
  checkIncarnation,
  checkModel,
  checkDeadline,
];

/** Leaving is left out: what was accepted before is finished. */
const sendingChecks: readonly Check[] = [checkReady, checkIncarnation, checkModel];

function firstFault(checks: readonly Check[], target: GateTarget, request: gateMessage.RunRequest) {
  for (const check of checks) {
    const found = check(target, request);
    if (found !== undefined) return found;
  }
  return undefined;
}

/** Checks a run that arrives. */
export function checkArrival(target: GateTarget, request: gateMessage.RunRequest): Fault | undefined {
  return firstFault(arrivalChecks, target, request);
}

/** Checks a run again that has waited. */
export function checkSending(target: GateTarget, request: gateMessage.RunRequest): Fault | undefined {
  return firstFault(sendingChecks, target, request);
}
