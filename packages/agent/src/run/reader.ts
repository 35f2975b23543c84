/** One reader of a run's events. */
import { Code, ConnectError } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import type { gateMessage } from '@jasmineroute/protocol';
import type { EventBuffer } from './buffer.js';

/** Time between two heartbeats on a stream that has nothing to say. */
export const HEARTBEAT_MS = 500;

/** An event as the gate's stream carries it. */
export type RunEventInit = MessageInitShape<typeof gateMessage.RunEventSchema>;

/** What a reader needs. */
export interface ReaderSource {
  readonly requestId: string;
  readonly buffer: EventBuffer;
  readonly clock: Clock;
}

/** True when an event came, false when the time was up, whichever is first. */
function eventWithin(source: ReaderSource, ms: number, signal: AbortSignal): Promise<boolean> {
  return new Promise((resolve) => {
    const finish = (came: boolean): void => {
      calledOff();
      forget();
      signal.removeEventListener('abort', onAbort);
      resolve(came);
    };
    const onAbort = (): void => {
      finish(true);
    };
    const calledOff = source.clock.after(ms, () => {
      finish(false);
    });
    const forget = source.buffer.onEvent(() => {
      finish(true);
    });
    signal.addEventListener('abort', onAbort, { once: true });
  });
}

/**
 * Gives out events from an ordinal on, with heartbeats between, until the last one.
 * Ends early, without a last event, when the signal aborts: the other side has gone.
 */
export async function* readEvents(
  source: ReaderSource,
  from: number,
  signal: AbortSignal,
): AsyncGenerator<RunEventInit> {
  const { buffer, requestId } = source;
  let next = from;
  while (!signal.aborted) {
    if (next < buffer.start) throw new ConnectError('the events are not kept any more', Code.OutOfRange);
    const event = buffer.at(next);
    if (event !== undefined) {
      yield { requestId, ordinal: BigInt(next), event };
      next++;
      buffer.taken(next);
      continue;
    }
    if (buffer.closed) return;
    const came = await eventWithin(source, HEARTBEAT_MS, signal);
    if (!came) yield { requestId, ordinal: BigInt(next), event: { case: 'heartbeat', value: {} } };
  }
}
