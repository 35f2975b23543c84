/** RPC service for turns. */
import { create } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import type { Metrics } from '@jasmineroute/core';
import { controlMessage, errorOf } from '@jasmineroute/protocol';
import type { Proposer } from '../log/index.js';
import { controlMetrics } from '../metrics.js';

/** Grants and releases turns through the replicated log. */
export class TurnService implements ServiceImpl<typeof controlMessage.Turns> {
  constructor(
    private readonly proposer: Proposer,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Takes or renews a turn. The holder counts the lease from before it sent the request, and stops acting when the lease has
   * expired, whatever answers arrive.
   */
  async take(request: controlMessage.TakeRequest): Promise<controlMessage.TakeResponse> {
    const outcome = await this.proposer.propose('take', request);
    if (outcome.isErr()) throw errorOf(outcome.error);
    this.metrics.count(controlMetrics.turns, 1, { granted: String(outcome.value.granted) });
    return outcome.value;
  }

  async release(request: controlMessage.ReleaseRequest): Promise<controlMessage.ReleaseResponse> {
    const outcome = await this.proposer.propose('release', request);
    if (outcome.isErr()) throw errorOf(outcome.error);
    return create(controlMessage.ReleaseResponseSchema, {});
  }
}
