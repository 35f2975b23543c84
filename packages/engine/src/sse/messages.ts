/** Parses server-sent events, for streams that are consumed here and not forwarded. */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';

/** Data of each event, in order. */
export async function* eventData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const queue: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => queue.push(event) });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    for (const message of queue.splice(0)) yield message.data;
  }
}
