/** Bytes that are reserved for bodies of requests that wait, of all connections together. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { afterEach, expect, it } from 'vitest';
import { TestServer, requestBytes } from '../testing/callerServer.js';
import { waitUntil } from '../testing/testEntry.js';

const BODY_BYTES = 900_000;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const held: ServerResponse[] = [];
let test: TestServer;

afterEach(async () => {
  held.length = 0;
  await test.server.close();
});

// Guards against bytes that stay reserved, as long as the answer in front lasts, for a body whose time has passed.
it('a body whose time has passed leaves its bytes to those of other connections', async () => {
  const settings = { maxBufferedBytes: 4_000_000, requestTimeoutMs: 300, headerTimeoutMs: 300 };
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
  const late = test.connect();
  const head = `POST /late HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
  late.socket.write(`${requestBytes('/first')}${head}xxx`);
  await waitUntil(() => held.length === 1);
  await pause(2_500);
  const caller = test.connect();
  caller.socket.write(requestBytes('/first') + requestBytes('/b', 'x'.repeat(BODY_BYTES)));
  await waitUntil(() => held.length === 2);
  await pause(1_300);
  held[1]?.end('done');
  await waitUntil(() => caller.isEnded || caller.text.includes('answer to /b'));
  expect(caller.text).toContain(`answer to /b, ${BODY_BYTES}.`);
  late.socket.destroy();
  caller.socket.destroy();
}, 10_000);
