/** Finds the targets that can run a call. */
import type { Candidate } from '@jasmineroute/routing';
import type { Health, Instance, LoadedModel, Target, View } from '@jasmineroute/directory';
import type { Call, RequestedModel } from './call.js';

/** A candidate with the address of its gate. */
export interface GateCandidate extends Candidate {
  /** host:port of the gate. */
  readonly address: string;
}

const availableHealths: ReadonlySet<Health> = new Set(['alive', 'suspect']);

/** Whether an instance serves a target of the service that is up, ready and not leaving. */
export function isAvailable({ health, target }: Instance, service: string): boolean {
  return target?.service === service && availableHealths.has(health) && target.ready;
}

/**
 * Available targets of the call's service that have the model, the adapter and exactly this version of the weights
 * loaded.
 * @param model undefined for a plain service.
 */
export function candidatesOf(call: Call, model: RequestedModel | undefined, view: View): GateCandidate[] {
  const found: GateCandidate[] = [];
  for (const instance of view.instances.values()) {
    const { target } = instance;
    if (target === undefined || !isAvailable(instance, call.service.service)) continue;
    if (model !== undefined && !target.models.some((loaded) => hasWantedModel(loaded, model))) continue;
    found.push(candidateFrom(instance, target));
  }
  return found;
}

function candidateFrom(
  instance: Instance,
  { engineIncarnation, capacity, softwareVersion }: Target,
): GateCandidate {
  return {
    name: instance.name,
    address: instance.address,
    engineIncarnation,
    capacity,
    dataCentre: instance.dataCentre,
    suspect: instance.health === 'suspect',
    softwareVersion,
  };
}

function hasWantedModel(loaded: LoadedModel, wanted: RequestedModel): boolean {
  if (loaded.model !== wanted.weights.name || loaded.version !== wanted.weights.version) return false;
  return wanted.adapter === '' || loaded.adapters.includes(wanted.adapter);
}
