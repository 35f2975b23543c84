/** Whether another target serves a model: asked of its gate, not read from a view that may be old. */
import { createClient } from '@connectrpc/connect';
import type { Clock } from '@jasmineroute/core';
import type { Instance, View } from '@jasmineroute/directory';
import { gateMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';

/** Longest wait for a gate's answer. */
const PROBE_TIMEOUT_MS = 500;

/** Gates that are asked at most. */
const MAX_ASKED = 4;

/** What asking needs. */
export interface ServingOptions {
  readonly service: string;
  /** This target, which is not asked. */
  readonly self: string;
  readonly view: () => View;
  readonly peers: Pick<Peers, 'transport'>;
  readonly clock: Clock;
}

/** Targets that say in the view that they have a model's version. */
export function candidates(options: ServingOptions, model: string, version: string): Instance[] {
  const { service, self, view } = options;
  return [...view().instances.values()].filter(({ name, health, target }) => {
    if (name === self || health !== 'alive' || target?.service !== service || !target.ready) return false;
    return target.models.some((has) => has.model === model && has.version === version);
  });
}

async function accepts(
  options: ServingOptions,
  address: string,
  model: string,
  version: string,
): Promise<boolean> {
  const { peers, service, clock } = options;
  const bound = new AbortController();
  const calledOff = clock.after(PROBE_TIMEOUT_MS, () => {
    bound.abort(new Error('no answer in time'));
  });
  try {
    const client = createClient(gateMessage.Gate, peers.transport(address));
    const answer = await client.probe({ service, model, weightsVersion: version }, { signal: bound.signal });
    return answer.accepting;
  } catch {
    return false;
  } finally {
    calledOff();
  }
}

/** How many other targets accept work for a model's version; a few of them are asked. */
export async function othersServing(
  options: ServingOptions,
  model: string,
  version: string,
): Promise<number> {
  const asked = candidates(options, model, version).slice(0, MAX_ASKED);
  const answers = await Promise.all(asked.map(({ address }) => accepts(options, address, model, version)));
  return answers.filter((accepting) => accepting).length;
}
