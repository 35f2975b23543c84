/** Requests that are sent together on one connection: what becomes of those behind another. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import type { Script } from '../testing/bed.js';
import { events, stream } from '../testing/caller.js';

const FRONT = '/front/';
const BEHIND = '/behind/';

const requestOf = (path: string, fields = ''): string =>
  `POST ${path} HTTP/1.1\r\nhost: a.example\r\nt-id: ${path}\r\n${fields}content-length: 8\r\n\r\nquestion`;

describe('a request behind another on its connection', () => {
  let bed: RelayBed;
  let caller: Socket;
  let received = '';

  afterEach(async () => {
    caller.destroy();
    await bed.stop();
  });

  /** Starts an entry whose target answers the path in front by the script, and sends both requests together. */
  async function send(front: Script, fields = ''): Promise<void> {
    const routes = [
      routeTo({ ...stream, name: 'front', pathPrefix: FRONT, resumable: false, maxAttempts: 1 }),
      routeTo({ name: 'behind', pathPrefix: BEHIND }),
    ];
    bed = await RelayBed.start(routes, 1);
    bed.target(1).script = (request, ...rest) => {
      (request.url === FRONT ? front : answered('answer behind'))(request, ...rest);
    };
    const { hostname, port } = new URL(bed.url);
    received = '';
    caller = connect(Number(port), hostname);
    caller.on('data', (bytes) => (received += bytes.toString()));
    caller.write(requestOf(FRONT) + requestOf(BEHIND, fields));
  }

  const paths = (): (string | undefined)[] => bed.target(1).requests.map(({ url }) => url);

  // Guards against a request that ran and has no answer: its connection ends as the answer in front is broken off.
  it('does not run when the target breaks off the answer in front', async () => {
    let isClosed = false;
    const breakOff = events(0, 1, (response) => {
      void until(() => received.includes('data: 1')).then(() => response.socket?.resetAndDestroy());
    });
    await send(breakOff);
    caller.once('close', () => (isClosed = true));
    await until(() => isClosed);
    expect(received).not.toContain('answer behind');
    expect(paths()).toEqual([FRONT]);
  });

  // Guards against a request that runs for nobody, and one that a stop waits for.
  it('does not run when its caller leaves while it waits', async () => {
    let finish = (): void => undefined;
    await send(events(0, 1, (response) => (finish = () => response.end())));
    await until(() => received.includes('data: 1'));
    caller.resetAndDestroy();
    await until(() => bed.open === 0);
    finish();
    await bed.drain();
    expect(paths()).toEqual([FRONT]);
  });

  // Guards against an answer past the time that a caller gave: the time of a request that waits passes.
  it('has its time from its arrival on', async () => {
    await send(
      events(0, 1, (response) => setTimeout(() => response.end(), 600)),
      't-deadline: 500\r\n',
    );
    await until(() => received.includes('t-ran'));
    expect(received).toMatch(/data: 1[^]*HTTP\/1.1 \d+ [^]*t-ran: not-run/);
    expect(paths()).toEqual([FRONT]);
  });

  it('is answered after the one in front', async () => {
    await send(events(0, 1, (response) => response.end()));
    await until(() => received.includes('answer behind'));
    expect(received).toMatch(/data: 1[^]*HTTP\/1.1 200 [^]*answer behind/);
    expect(paths()).toEqual([FRONT, BEHIND]);
  });
});
