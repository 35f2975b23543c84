/** The service for instances that run non-idempotent requests. */
import type { ServiceImpl } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { controlMessage, errorOf } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { Proposer } from '../log/index.js';
import { controlMetrics } from '../metrics.js';

/** Dependencies of the service. */
export interface ClaimServiceParts {
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Maximum number of claims in the table. */
  readonly maxClaims: number;
  /** Maximum bytes of kept answers. */
  readonly maxAnswerBytes: number;
  /** Address of the leader, host:port; empty when unknown. */
  readonly leaderAddress: () => string;
}

/** Claims and settlements; each is answered only after a quorum holds it. */
export class ClaimService implements ServiceImpl<typeof controlMessage.Claims> {
  constructor(private readonly parts: ClaimServiceParts) {}

  /** @throws ConnectError with 'claims-unavailable' when the table is full; nothing was recorded then. */
  async claim(request: controlMessage.ClaimRequest): Promise<controlMessage.ClaimResponse> {
    const { clock, metrics, proposer, maxClaims } = this.parts;
    const start = clock.monotonic();
    const outcome = await proposer.propose('claim', { request, maxClaims });
    metrics.timing(controlMetrics.claimTime, clock.monotonic() - start);
    if (outcome.isErr()) throw errorOf(outcome.error);
    const { response } = outcome.value;
    if (response === undefined) throw this.full();
    metrics.count(controlMetrics.claims, 1, { state: controlMessage.ClaimState[response.state] });
    return { ...response, leader: this.parts.leaderAddress() };
  }

  async settle(request: controlMessage.SettleRequest): Promise<controlMessage.SettleResponse> {
    const { proposer, maxAnswerBytes, maxClaims } = this.parts;
    const limits = { maxAnswerBytes: BigInt(maxAnswerBytes), maxClaims };
    const outcome = await proposer.propose('settle', { request, ...limits });
    if (outcome.isErr()) throw errorOf(outcome.error);
    return outcome.value;
  }

  private full(): Error {
    this.parts.log.event(controlEvents.claimsFull, { maxClaims: this.parts.maxClaims });
    return errorOf(fault('claims-unavailable', 'the claims table is full'));
  }
}
