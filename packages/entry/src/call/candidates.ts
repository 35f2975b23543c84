/** The targets that may take a call. */
import type { Candidate } from '@jasmineroute/routing';
import type { Instance, LoadedModel, View } from '@jasmineroute/directory';
import type { Call, ModelPart } from './call.js';

/** A candidate and where its gate listens. */
export interface GateCandidate extends Candidate {
  /** host:port of the gate. */
  readonly address: string;
}

const takingWork = new Set(['alive', 'suspect']);

/**
 * Targets of the call's service that are up, ready, not leaving, and have the very model, adapter and weights
 * in memory: another version would answer from other weights than the document in force names.
 */
export function candidatesOf(call: Call, view: View): GateCandidate[] {
  const found: GateCandidate[] = [];
  for (const instance of view.instances.values()) {
    const { target } = instance;
    if (target?.service !== call.service.service || !takingWork.has(instance.health) || !target.ready)
      continue;
    if (call.model !== undefined && !target.models.some((loaded) => fits(loaded, call.model))) continue;
    found.push(candidate(instance, target.engineIncarnation, target.capacity));
  }
  return found;
}

function candidate(instance: Instance, engineIncarnation: string, capacity: number): GateCandidate {
  return {
    name: instance.name,
    address: instance.address,
    engineIncarnation,
    capacity,
    dataCentre: instance.dataCentre,
    suspect: instance.health === 'suspect',
  };
}

function fits(loaded: LoadedModel, wanted: ModelPart | undefined): boolean {
  if (wanted === undefined) return true;
  if (loaded.model !== wanted.weights.name || loaded.version !== wanted.weights.version) return false;
  return wanted.adapter === '' || loaded.adapters.includes(wanted.adapter);
}
