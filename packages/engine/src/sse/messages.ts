/** Server-sent events as messages, for the streams that are read and not passed on. */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';

/** Data of each event, in order. */
export async function* messagesOf(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const queue: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => queue.push(event) });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    for (const message of queue.splice(0)) yield message.data;
  }
}
