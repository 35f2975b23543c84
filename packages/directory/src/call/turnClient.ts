/** Turns (limited leases with fencing numbers), granted by a quorum of control instances. */
import type { Result } from 'neverthrow';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import type { Fault } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { ControlClient } from './controlClient.js';

/** Request to take or renew a turn. */
export type TakeRequest = MessageInitShape<typeof controlMessage.TakeRequestSchema>;
/** Request to release a turn. */
export type ReleaseRequest = MessageInitShape<typeof controlMessage.ReleaseRequestSchema>;

/** Takes, renews and releases turns. Taking a turn again under the same holder renews it. */
export class TurnClient {
  constructor(private readonly controls: ControlClient) {}

  /** @returns whether the turn is granted, and its fencing number. */
  take(request: TakeRequest, timeoutMs: number): Promise<Result<controlMessage.TakeResponse, Fault>> {
    return this.controls.call(
      (transport, signal) => createClient(controlMessage.Turns, transport).take(request, { signal }),
      timeoutMs,
    );
  }

  /** Releases the turn before it expires. */
  async release(request: ReleaseRequest, timeoutMs: number): Promise<Result<void, Fault>> {
    const answer = await this.controls.call(
      (transport, signal) => createClient(controlMessage.Turns, transport).release(request, { signal }),
      timeoutMs,
    );
    return answer.map(() => undefined);
  }
}
