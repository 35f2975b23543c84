/** Streams with neither a length nor chunks, which end with their connection, cut after each byte. */
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, routeTo } from '../testing/bed.js';
import type { Script } from '../testing/bed.js';
import { ask, events, stream, text } from '../testing/caller.js';

const EVENTS = text(0, 2);

/** Lengths at which the stream has been cut between two events. */
const BETWEEN = [text(0, 0).length, text(0, 1).length, EVENTS.length];

/** Some others; retries are few, so not all of them. */
const BROKEN = [0, 1, text(0, 0).length + 1, EVENTS.length - 1];

const ends: Record<string, (socket: Socket) => void> = {
  'in order': (socket) => socket.end(),
  'by a reset': (socket) => socket.resetAndDestroy(),
};

/** Sends the head and the first bytes of a stream, then ends its connection. */
const cutAfter =
  (bytes: number, end: (socket: Socket) => void): Script =>
  (request) => {
    const { socket } = request;
    const head = `HTTP/1.1 200 OK\r\nt-id: ${String(request.headers['t-id'])}\r\nt-signed: yes\r\n\r\n`;
    // The reset must not overtake what was written.
    socket.write(head + EVENTS.slice(0, bytes), () => setTimeout(end, 2, socket));
  };

describe('a stream with neither a length nor chunks', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  // Guards against a stream that was broken off and looks complete to its caller.
  it.each(Object.entries(ends))('is complete only between two events, when it ends %s', async (how, end) => {
    bed = await RelayBed.start([routeTo({ ...stream, resumable: false, maxAttempts: 1 })]);
    for (let bytes = 0; bytes <= EVENTS.length; bytes += 1) {
      bed.target(1).script = cutAfter(bytes, end);
      const { status, whole, body } = await ask(bed.url, { id: `q${bytes}` });
      const isComplete = how === 'in order' && BETWEEN.includes(bytes);
      expect({ bytes, isComplete: status === 200 && whole }).toEqual({ bytes, isComplete });
      if (isComplete) expect(body).toBe(EVENTS.slice(0, bytes));
    }
  });

  // Guards against a caller who gets a part of a stream twice, or not at all, when another target goes on with it.
  it('goes on elsewhere after the last whole event when it was broken off', async () => {
    bed = await RelayBed.start([routeTo(stream)], 2);
    const goOn: Script = (request, response) => {
      const after = String(request.headers['t-after'] ?? '');
      events(after === '' ? 0 : Number(after) + 1, 2, () => response.end())(request, response, '');
    };
    for (const bytes of BROKEN) {
      let isFirst = true;
      for (const target of bed.targets)
        target.script = (...exchange) => {
          const script = isFirst ? cutAfter(bytes, (socket) => socket.end()) : goOn;
          isFirst = false;
          script(...exchange);
        };
      const answer = await ask(bed.url, { id: `r${bytes}` });
      expect({ bytes, answer }).toMatchObject({ bytes, answer: { status: 200, whole: true, body: EVENTS } });
    }
  });
});
