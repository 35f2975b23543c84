/** Tells control instances what is done with the target, so that entries hear it within milliseconds. */
import { createClient } from '@connectrpc/connect';
import type { Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';

/** Longest wait for one control instance, milliseconds: a lost one must not hold up a rollout. */
const CALL_MS = 400;

/** What is told. */
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
   * Tells all control instances that this process follows. Resolves once one has answered, or each was waited for long
   * enough: one that has heard tells the others. Waiting for all would hold up each load while one of them is frozen.
   */
  async tell({ targetId, number, paused, weights }: Observation): Promise<void> {
    const versions = [...weights].map(([model, version]) => ({ model, version: BigInt(version) }));
    const request = { targetId, observation: number, paused, weights: versions };
    const told = this.controls().map((address) => this.tellOne(address, request));
    // Each failure has its own log line.
    await Promise.any(told).catch(() => undefined);
  }

  private async tellOne(
    address: string,
    request: { targetId: string; observation: bigint; paused: boolean },
  ): Promise<void> {
    const client = createClient(controlMessage.Configurations, this.peers.transport(address));
    try {
      await client.observe(request, { timeoutMs: CALL_MS });
    } catch (error) {
      this.log.event(rolloutEvents.unobserved, { control: address, problem: String(error) });
      throw error;
    }
  }
}
