import { afterEach, describe, expect, it } from 'vitest';
import { TestServer, requestBytes } from '../testing/callerServer.js';
import type { RawCaller } from '../testing/callerServer.js';
import { waitUntil } from '../testing/testEntry.js';

const MAX_HEADER_BYTES = 16_384;

/** As many short fields as a head of the largest size has room for. */
const MANY = 3_900;

/** Bytes for callers of a small machine. */
const MEMORY_BYTES = 1_000_000;

const REFUSED = 503;

let test: TestServer | undefined;

async function start(...args: Parameters<typeof TestServer.start>): Promise<TestServer> {
  test = await TestServer.start(...args);
  return test;
}

afterEach(async () => {
  await test?.server.close();
});

/** Lines of fields whose names are one letter: each takes four bytes. */
const shortFields = (count: number): string =>
  Array.from({ length: count }, (_, at) => `${String.fromCharCode(0x61 + (at % 26))}:\r\n`).join('');

const traceFields = (count: number): string =>
  Array.from({ length: count }, (_, at) => `X-Trace-${at}: ${at}\r\n`).join('');

/** A request whose head has so many bytes, none of which is a space that means nothing. */
function requestOf(bytes: number): string {
  const filled = (length: number): string =>
    requestBytes('/', '', `X-Filling:${'y'.repeat(length)}\r\n`).replaceAll(': ', ':');
  return filled(bytes - filled(0).length);
}

const statuses = ({ text }: RawCaller): number[] =>
  [...text.matchAll(/^HTTP\/1\.1 (\d+) /gm)].map(([, status]) => Number(status));

describe('a head with many fields', () => {
  // Guards against a request that goes on without fields that its caller sent: Node drops those above a number, and tells nobody.
  it.each([20, 220, 2_000])('is handled with all of them when it has %i', async (count) => {
    const seen: string[][] = [];
    const scene = await start((incoming, outgoing) => {
      seen.push([String(incoming.rawHeaders.length / 2), String(incoming.headers['x-last'])]);
      outgoing.end();
    });
    scene.server.setMaxHeaderBytes(MAX_HEADER_BYTES * 4);
    const caller = scene.connect();
    caller.ask('/', 'body', `${traceFields(count)}X-Last: here\r\n`);
    await waitUntil(() => statuses(caller).length === 1);
    // The host and the length are the others.
    expect(seen).toEqual([[String(count + 3), 'here']]);
  });

  // Guards against fields that are lost while a request waits for its turn.
  it('is handled with all of them behind a request that takes long, and so is what follows', async () => {
    const seen: number[] = [];
    let finish: () => void = () => undefined;
    const scene = await start((incoming, outgoing) => {
      seen.push(incoming.rawHeaders.length / 2);
      if (incoming.url === '/long') finish = () => outgoing.end();
      else outgoing.end();
    });
    const caller = scene.connect();
    caller.ask('/long');
    await waitUntil(() => seen.length === 1);
    caller.ask('/', 'body', shortFields(MANY));
    caller.ask('/next', 'body');
    finish();
    await waitUntil(() => statuses(caller).length === 3);
    expect(statuses(caller)).toEqual([200, 200, 200]);
    expect(seen).toEqual([2, MANY + 2, 2]);
  });
});

describe('the size of a head', () => {
  // Guards against a limit of the configuration that nobody keeps: heads of other sizes were taken, or refused.
  it.each([4_096, MAX_HEADER_BYTES, 100_000])('may be %i bytes where that is configured', async (limit) => {
    const scene = await start((_incoming, outgoing) => outgoing.end());
    const open = scene.connect();
    open.ask('/');
    await waitUntil(() => statuses(open).length === 1);
    scene.server.setMaxHeaderBytes(limit);
    const within = scene.connect();
    for (const caller of [open, within]) caller.socket.write(requestOf(limit));
    await waitUntil(() => statuses(open).length === 2 && statuses(within).length === 1);
    expect([...statuses(open), ...statuses(within)]).toEqual([200, 200, 200]);
    within.socket.write(requestOf(limit + 1));
    await waitUntil(() => within.isEnded);
    expect(statuses(within)).toEqual([200, 431]);
    expect(within.text).toContain('X-Run-State: not-run');
    expect(scene.handled).toHaveLength(3);
  });

  // Guards against an answer in place of another one's: what is refused is behind a request in progress.
  it('is refused without a word in the answer before it', async () => {
    let finish: () => void = () => undefined;
    const scene = await start((_incoming, outgoing) => {
      finish = () => outgoing.end('first');
    });
    const caller = scene.connect();
    caller.ask('/');
    await waitUntil(() => scene.handled.length === 1);
    caller.socket.write(requestOf(MAX_HEADER_BYTES + 1));
    await waitUntil(() => scene.lines.length > 0);
    finish();
    await waitUntil(() => caller.isEnded);
    expect(statuses(caller)).toEqual([200]);
    expect(caller.text).toMatch(/first$/);
    expect(scene.handled).toEqual(['/']);
  });
});

/** Bytes that leave a request unfinished. */
const unfinished = {
  'a head': `POST / HTTP/1.1\r\nHost: a.example\r\n${shortFields(MANY)}`,
  'trailer fields': `POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${shortFields(MANY)}`,
};

describe('fields of requests that stop short', () => {
  // Guards against a process that ends for want of memory: parsed fields take twenty times their bytes, and nobody counted them.
  it.each(Object.entries(unfinished))(
    'take no more than the memory for callers, and others are served: %s',
    async (_name, bytes) => {
      const scene = await start((incoming, outgoing) => incoming.resume().once('end', () => outgoing.end()), {
        maxBufferedBytes: MEMORY_BYTES,
      });
      const crowd = Array.from({ length: 20 }, () => scene.connect());
      for (const caller of crowd) caller.socket.write(bytes);
      await waitUntil(() => crowd.filter(({ isEnded }) => isEnded).length >= 18);
      const refused = crowd.filter(({ isEnded }) => isEnded);
      for (const caller of refused) {
        expect(statuses(caller)).toEqual([REFUSED]);
        expect(caller.text).toContain('Retry-After: 1');
        expect(caller.text).toContain('X-Run-State: not-run');
      }
      const other = scene.connect();
      other.ask('/', 'x'.repeat(1_000), traceFields(40));
      await waitUntil(() => statuses(other).length === 1);
      expect(statuses(other)).toEqual([200]);
    },
  );

  // Guards against memory that stays counted for connections that are gone: nobody with many fields is served after that.
  it('leave nothing behind', async () => {
    const scene = await start((_incoming, outgoing) => outgoing.end(), { maxBufferedBytes: MEMORY_BYTES });
    for (let round = 0; round < 5; round += 1) {
      const caller = scene.connect();
      caller.socket.write(unfinished['a head']);
      await waitUntil(() => scene.server.connections === 1);
      await new Promise((resolve) => setImmediate(resolve));
      caller.socket.destroy();
      await waitUntil(() => scene.server.connections === 0);
    }
    const last = scene.connect();
    for (const part of [unfinished['a head'], 'Content-Length: 0\r\n\r\n']) last.socket.write(part);
    await waitUntil(() => statuses(last).length === 1);
    expect(statuses(last)).toEqual([200]);
  });
});
