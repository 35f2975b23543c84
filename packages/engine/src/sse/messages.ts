/** Parses server-sent events, for streams that are consumed here and not forwarded. */
import { fault } from '@jasmineroute/core';
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { FaultError } from '../wire/failure.js';
import { MAX_EVENT_BYTES } from './scanner.js';

/**
 * Data of each event, in order.
 * @throws FaultError when an event is larger than what is buffered of one.
 */
export async function* eventData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  let pending = 0;
  const queue: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => queue.push(event) });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    pending = queue.length > 0 ? 0 : pending + chunk.length;
    if (pending > MAX_EVENT_BYTES)
      throw new FaultError(fault('engine-failed', `an event of more than ${MAX_EVENT_BYTES} bytes`));
    for (const message of queue.splice(0)) yield message.data;
  }
}
