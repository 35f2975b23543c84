/** Probes the gates of other targets for whether they serve a model, as the view may be out of date. */
import { createClient } from '@connectrpc/connect';
import type { Clock } from '@jasmineroute/core';
import type { Instance, View } from '@jasmineroute/directory';
import { gateMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';

/** Timeout of one probe. */
const PROBE_TIMEOUT_MS = 500;

/** Targets that are probed at most. */
const MAX_PROBES = 4;

/** What the probes need. */
export interface ServingOptions {
  readonly service: string;
  /** Name of this target, which is not probed. */
  readonly self: string;
  readonly view: () => View;
  readonly peers: Pick<Peers, 'transport'>;
  readonly clock: Clock;
}

/** Other targets that have a model's version loaded according to the view. */
export function targetsWith(options: ServingOptions, model: string, version: string): Instance[] {
  const { service, self, view } = options;
  return [...view().instances.values()].filter(({ name, health, target }) => {
    if (name === self || health !== 'alive' || target?.service !== service || !target.ready) return false;
    return target.models.some((has) => has.model === model && has.version === version);
  });
}

async function isAccepting(
  options: ServingOptions,
  address: string,
  model: string,
  version: string,
): Promise<boolean> {
  const { peers, service, clock } = options;
  const timeout = new AbortController();
  const cancelTimer = clock.after(PROBE_TIMEOUT_MS, () => {
    timeout.abort(new Error('the probe timed out'));
  });
  try {
    const client = createClient(gateMessage.Gate, peers.transport(address));
    const answer = await client.probe(
      { service, model, weightsVersion: version },
      { signal: timeout.signal },
    );
    return answer.accepting;
  } catch {
    return false;
  } finally {
    cancelTimer();
  }
}

/** Number of other targets that accept runs for a model's version; probes at most `MAX_PROBES`. */
export async function countOthersServing(
  options: ServingOptions,
  model: string,
  version: string,
): Promise<number> {
  const probed = targetsWith(options, model, version).slice(0, MAX_PROBES);
  const answers = await Promise.all(
    probed.map(({ address }) => isAccepting(options, address, model, version)),
  );
  return answers.filter((accepting) => accepting).length;
}
