/** Answers that end inside their head, after each byte. */
import type { Socket } from 'node:net';
import type { Route } from '@jasmineroute/configuration';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, routeTo } from '../testing/bed.js';
import { ask, events, stream, text } from '../testing/caller.js';

const EVENTS = text(0, 2);
const SUCCESS = 200;
const REDIRECT = 300;

/** Head and body of the answer to a request, in the ways in which a body may be framed. */
const answers: Record<string, (id: string) => { readonly head: string; readonly body: string }> = {
  'a length': (id) => ({ head: headOf(id, '200 OK', `content-length: ${EVENTS.length}\r\n`), body: EVENTS }),
  chunks: (id) => ({
    head: headOf(id, '200 OK', 'transfer-encoding: chunked\r\n'),
    body: `${EVENTS.length.toString(16)}\r\n${EVENTS}\r\n0\r\n\r\n`,
  }),
  'neither, after early hints': (id) => ({
    head: `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${headOf(id, '200 OK', '')}`,
    body: EVENTS,
  }),
  'no body': (id) => ({ head: headOf(id, '204 No Content', ''), body: '' }),
  'a folded field': (id) => ({
    head: headOf(id, '200 OK', `x-note: one\r\n two\r\ncontent-length: ${EVENTS.length}\r\n`),
    body: EVENTS,
  }),
};

function headOf(id: string, status: string, framing: string): string {
  return `HTTP/1.1 ${status}\r\n${framing}t-id: ${id}\r\nt-signed: yes\r\n\r\n`;
}

const ends: Record<string, (socket: Socket) => void> = {
  'in order': (socket) => socket.end(),
  'by a reset': (socket) => socket.resetAndDestroy(),
};

/** Writes a text in two packets with a pause between them, then ends the connection. */
function writeAndEnd(socket: Socket, sent: string, end: (socket: Socket) => void): void {
  const half = Math.floor(sent.length / 2);
  socket.setNoDelay(true);
  socket.write(sent.slice(0, half));
  setTimeout(() => {
    // The reset must not overtake what was written.
    socket.write(sent.slice(half), () => setTimeout(end, 2, socket));
  }, 2);
}

const kinds: Record<string, Partial<Route>> = {
  'a request that runs once': { kind: 'once' },
  'a stream': { ...stream, resumable: false, maxAttempts: 1 },
};

const cases = Object.keys(kinds).flatMap((kind) =>
  Object.keys(ends).flatMap((end) => Object.keys(answers).map((framing) => [kind, framing, end] as const)),
);

describe('an answer that ends inside its head', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  // Guards against an empty or short answer that looks complete, as its target stopped in the middle of the head.
  it.each(cases)('fails %s, framed by %s, when it ends %s', async (kind, framing, end) => {
    bed = await RelayBed.start([routeTo(kinds[kind])]);
    const { head, body } = answers[framing]?.('q') ?? { head: '', body: '' };
    const complete: number[] = [];
    const sockets = new Set<Socket>();
    let reused = 0;
    bed.target(1).script = ({ socket, headers }, response) => {
      if (sockets.has(socket)) reused += 1;
      sockets.add(socket);
      const [, cut] = String(headers['t-id']).split('-');
      if (cut === undefined) {
        response.writeHead(SUCCESS, { 't-id': headers['t-id'], 't-signed': 'yes', 'content-length': 0 });
        response.end();
      } else {
        const whole = answers[framing]?.(String(headers['t-id'])) ?? { head, body };
        writeAndEnd(socket, (whole.head + whole.body).slice(0, Number(cut)), (one) => ends[end]?.(one));
      }
    };
    for (let cut = 1; cut < head.length; cut += 1) {
      // The answer before it leaves a connection that the next request reuses.
      await ask(bed.url, { id: `before${cut}` });
      const { status, whole } = await ask(bed.url, { id: `q-${cut}` });
      if (whole && status >= SUCCESS && status < REDIRECT) complete.push(cut);
    }
    expect(complete).toEqual([]);
    expect(reused).toBeGreaterThan(head.length / 2);
  });

  // Guards against a stream with a gap, or a part of another answer, when a successor of its target ends inside its head.
  it.each(Object.keys(ends))('leaves a stream to the next target, when it ends %s', async (end) => {
    const { head } = answers.chunks?.('q') ?? { head: '' };
    for (let cut = 1; cut < head.length; cut += 6) {
      bed = await RelayBed.start([routeTo({ ...stream, maxAttempts: 3 })], 3);
      let sent = 0;
      for (const target of bed.targets)
        target.script = (request, response, body) => {
          sent += 1;
          const after = String(request.headers['t-after'] ?? '');
          const first = after === '' ? 0 : Number(after) + 1;
          const breakOff = (): unknown => setTimeout(() => request.socket.destroy(), 5);
          if (sent === 1) events(0, 0, breakOff)(request, response, body);
          else if (sent === 2) writeAndEnd(request.socket, head.slice(0, cut), (one) => ends[end]?.(one));
          else events(first, 2, () => response.end())(request, response, body);
        };
      const answer = await ask(bed.url);
      expect({ cut, answer }).toMatchObject({ cut, answer: { status: SUCCESS, whole: true, body: EVENTS } });
      expect(sent).toBe(3);
      if (cut + 6 < head.length) await bed.stop();
    }
  });
});
