/** Claims on idempotency keys, held by a quorum of control instances. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { ControlClient } from './controlClient.js';

/** Request for a claim. */
export type ClaimRequest = MessageInitShape<typeof controlMessage.ClaimRequestSchema>;
/** Outcome of a claimed attempt. */
export type SettleRequest = MessageInitShape<typeof controlMessage.SettleRequestSchema>;

function unavailable(cause: Fault): Fault {
  return fault('claims-unavailable', `no claim: ${cause.message}`, { ran: cause.ran, cause });
}

/** Takes and settles claims. Requests carry the attempt's id, so that retries on other control instances are safe. */
export class ClaimClient {
  constructor(private readonly controls: ControlClient) {}

  /**
   * Claims the key for an attempt.
   * @returns the state of the claim; or 'claims-unavailable', whose `ran` refers to the claim itself: 'may-have-run'
   * means that the attempt may hold the key and should be settled as released.
   */
  async claim(
    request: ClaimRequest,
    timeoutMs: number,
  ): Promise<Result<controlMessage.ClaimResponse, Fault>> {
    const answer = await this.controls.call(
      (transport, signal) => createClient(controlMessage.Claims, transport).claim(request, { signal }),
      timeoutMs,
    );
    if (answer.isOk()) this.controls.prefer(answer.value.leader);
    return answer.mapErr(unavailable);
  }

  /** Records the outcome of the attempt. */
  async settle(request: SettleRequest, timeoutMs: number): Promise<Result<void, Fault>> {
    const answer = await this.controls.call(
      (transport, signal) => createClient(controlMessage.Claims, transport).settle(request, { signal }),
      timeoutMs,
    );
    if (answer.isErr()) return err(unavailable(answer.error));
    if (!answer.value.settled) return err(fault('claims-unavailable', 'the attempt no longer holds the key'));
    return ok(undefined);
  }
}
