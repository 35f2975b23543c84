/** Sends changes of the target's state to control instances, so that entries get them within milliseconds. */
import { createClient } from '@connectrpc/connect';
import type { Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';

/** Timeout of a call to a control instance, milliseconds: a lost one must not delay a rollout. */
const CALL_TIMEOUT_MS = 400;

/** State of a target during a change of its weights. Of two observations the one with the higher number counts. */
export interface Observation {
  readonly targetId: string;
  readonly number: bigint;
  readonly paused: boolean;
  readonly weights: ReadonlyMap<string, number>;
}

/** Sends observations to the control instances that this process follows. */
export class Observer {
  constructor(
    private readonly controls: () => readonly string[],
    private readonly peers: Peers,
    private readonly log: Log,
  ) {}

  /**
   * Sends to all control instances that this process follows. Resolves once one has answered, as it relays the observation to
   * the others, or all calls have failed. Waiting for all would delay each load while one of them is frozen.
   */
  async tell({ targetId, number, paused, weights }: Observation): Promise<void> {
    const versions = [...weights].map(([model, version]) => ({ model, version: BigInt(version) }));
    const request = { targetId, observation: number, paused, weights: versions };
    const calls = this.controls().map((address) => this.sendTo(address, request));
    // Each failure has its own log line.
    await Promise.any(calls).catch(() => undefined);
  }

  private async sendTo(
    address: string,
    request: { targetId: string; observation: bigint; paused: boolean },
  ): Promise<void> {
    const client = createClient(controlMessage.Configurations, this.peers.transport(address));
    try {
      await client.observe(request, { timeoutMs: CALL_TIMEOUT_MS });
    } catch (error) {
      this.log.event(rolloutEvents.observationFailed, { control: address, problem: String(error) });
      throw error;
    }
  }
}
