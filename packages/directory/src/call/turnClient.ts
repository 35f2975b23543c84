/** Turns with fencing numbers, granted by a quorum of control instances. */
import type { Result } from 'neverthrow';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import type { Fault } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Controls } from './controls.js';

/** A turn to take or renew. */
export type TakeRequest = MessageInitShape<typeof controlMessage.TakeRequestSchema>;
/** A turn to give back. */
export type ReleaseRequest = MessageInitShape<typeof controlMessage.ReleaseRequestSchema>;

/** Takes, renews and releases turns. Taking again under the same holder renews. */
export class TurnClient {
  constructor(private readonly controls: Controls) {}

  /** @returns whether it is granted, and the fencing number. */
  take(request: TakeRequest, timeoutMs: number): Promise<Result<controlMessage.TakeResponse, Fault>> {
    return this.controls.call(
      (transport, signal) => createClient(controlMessage.Turns, transport).take(request, { signal }),
      timeoutMs,
    );
  }

  /** Gives the turn back before its time runs out. */
  async release(request: ReleaseRequest, timeoutMs: number): Promise<Result<void, Fault>> {
    const answer = await this.controls.call(
      (transport, signal) => createClient(controlMessage.Turns, transport).release(request, { signal }),
      timeoutMs,
    );
    return answer.map(() => undefined);
  }
}
