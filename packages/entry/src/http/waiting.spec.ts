/** Bounds on requests that wait for their turn. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { entryEvents } from '../events.js';
import { TestServer, requestBytes } from '../testing/callerServer.js';
import { waitUntil } from '../testing/testEntry.js';

/** More than may wait on one connection, and than the buffers of the system hold. */
const LONG_BODY = 'x'.repeat(12_000_000);

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe('requests that wait for their turn', () => {
  let test: TestServer;
  const held: ServerResponse[] = [];

  /** Answers requests with their length; the first one is held. */
  async function start(settings: object = {}): Promise<void> {
    test = await TestServer.start(async (incoming, outgoing) => {
      let length = 0;
      for await (const chunk of incoming) length += (chunk as Buffer).length;
      if (incoming.url !== '/first') {
        outgoing.end(`answer to ${incoming.url ?? ''}, ${length}.`);
        return;
      }
      held.push(outgoing);
      await once(outgoing, 'close');
    }, settings);
  }

  afterEach(async () => {
    held.length = 0;
    await test.server.close();
  });

  // Guards against a request that gets no answer, and against memory that one caller fills.
  it('are refused as not run where the body is too long, and what follows is not handled', async () => {
    await start();
    const caller = test.connect();
    caller.socket.write(requestBytes('/first') + requestBytes('/long', LONG_BODY) + requestBytes('/behind'));
    await waitUntil(() => held.length === 1);
    await pause(1_500);
    held[0]?.end('done');
    await waitUntil(() => caller.isEnded);
    expect(caller.text).toMatch(/done[^]*HTTP\/1.1 503 [^]*connection: close[^]*x-run-state: not-run/i);
    expect(caller.text.match(/HTTP\/1.1/g)).toHaveLength(2);
    expect(caller.error).toBe('');
    expect(test.handled).toEqual(['/first']);
    expect(test.linesOf(entryEvents.waitingRefused)).toHaveLength(1);
    caller.socket.destroy();
  });

  // Guards against a request that is refused although the answer in front takes no long time.
  it('are handled with a body of any length when their turn comes soon', async () => {
    await start();
    const caller = test.connect();
    caller.socket.write(requestBytes('/first') + requestBytes('/long', LONG_BODY));
    await waitUntil(() => held.length === 1);
    await pause(300);
    held[0]?.end('done');
    await waitUntil(() => caller.text.includes('answer to /long'));
    expect(caller.text).toContain(`answer to /long, ${LONG_BODY.length}.`);
    caller.socket.destroy();
  });

  // Guards against a request that gets no answer, as its time passes while it is not read.
  it('are refused as not run where the time for the body passes while they are not read', async () => {
    await start({ requestTimeoutMs: 300, headerTimeoutMs: 300 });
    const caller = test.connect();
    caller.socket.write(requestBytes('/first') + requestBytes('/long', LONG_BODY));
    await waitUntil(() => held.length === 1);
    await pause(2_500);
    held[0]?.end('done');
    await waitUntil(() => caller.isEnded);
    expect(caller.text).toMatch(/done[^]*HTTP\/1.1 503 [^]*x-run-state: not-run/i);
    caller.socket.destroy();
  });

  // Guards against work that goes on for a caller that has left.
  it('end with a caller that leaves while a body is too long', async () => {
    await start();
    const caller = test.connect();
    caller.socket.write(requestBytes('/first') + requestBytes('/long', LONG_BODY));
    await waitUntil(() => held.length === 1);
    await pause(300);
    caller.socket.resetAndDestroy();
    const leftAt = performance.now();
    await waitUntil(() => test.server.connections === 0);
    expect(performance.now() - leftAt).toBeLessThan(2_000);
    expect(test.handled).toEqual(['/first']);
  });

  // Guards against answers that are lost, and against one that does not say that the requests behind it are not handled.
  it('are all answered where many wait for long, and the last one announces the end', async () => {
    await start();
    const caller = test.connect();
    caller.socket.write(requestBytes('/first') + requestBytes('/b').repeat(20));
    await waitUntil(() => held.length === 1);
    await pause(1_500);
    caller.ask('/late');
    held[0]?.end('done');
    await waitUntil(() => caller.isEnded);
    expect(caller.text.match(/answer to \/b/g)).toHaveLength(20);
    expect(caller.text.match(/connection: close/gi)).toHaveLength(1);
    expect(caller.text).toMatch(/connection: close[^]*answer to \/b, 0\.$/i);
    expect(test.handled).not.toContain('/late');
    caller.socket.destroy();
  });

  // Guards against memory that one caller fills with short requests, and against one of them that is not read later.
  it('are read only as far as some of them wait behind a long answer', async () => {
    const REQUESTS = 20_000;
    const MOST_WAITING = 3_000;
    await start();
    const caller = test.connect();
    caller.socket.write(requestBytes('/first') + requestBytes('/b', 'x').repeat(REQUESTS));
    await waitUntil(() => held.length === 1);
    await pause(500);
    expect(test.server.stopRecord().requests).toBeLessThan(MOST_WAITING);
    held[0]?.end('done');
    await waitUntil(() => test.handled.length === REQUESTS + 1);
    caller.socket.destroy();
  }, 30_000);

  // Guards against memory that many callers fill, each within the bound of its connection.
  it('are bounded on all connections together', async () => {
    const CALLERS = 20;
    const BODY_BYTES = 500_000;
    await start({ maxBufferedBytes: 8_000_000 });
    const callers = Array.from({ length: CALLERS }, () => test.connect());
    for (const { socket } of callers)
      socket.write(requestBytes('/first') + requestBytes('/b', 'x'.repeat(BODY_BYTES)));
    await waitUntil(() => held.length === CALLERS);
    await pause(2_000);
    for (const one of held) one.end('done');
    await waitUntil(() => callers.every(({ isEnded, text }) => isEnded || text.includes('answer to /b')));
    const answered = callers.filter(({ text }) => text.includes(`answer to /b, ${BODY_BYTES}.`));
    const refused = callers.filter(({ text }) => /HTTP\/1.1 503 [^]*x-run-state: not-run/i.test(text));
    expect(answered.length).toBe(4);
    expect(answered.length + refused.length).toBe(CALLERS);
    for (const { socket } of callers) socket.destroy();
  });
});
