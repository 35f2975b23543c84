/** The bound on what is read of requests that wait, where their number is what ends the reading. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { afterEach, expect, it } from 'vitest';
import { TestServer, requestBytes } from '../testing/callerServer.js';
import { waitUntil } from '../testing/testEntry.js';

const BODY_BYTES = 100_000_000;

/** Far more than the buffers of both systems, and what is read ahead, hold. */
const MOST_SENT = 50_000_000;

const held: ServerResponse[] = [];
let test: TestServer;

afterEach(async () => {
  held.length = 0;
  await test.server.close();
});

// Guards against memory that one caller fills with one long body behind many short requests.
it('a long body behind many requests that wait is not read while they wait', async () => {
  test = await TestServer.start(async (_incoming, outgoing) => {
    held.push(outgoing);
    await once(outgoing, 'close');
  });
  const caller = test.connect();
  const head = `POST /long HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
  caller.socket.write(requestBytes('/first') + requestBytes('/b').repeat(20) + head);
  await waitUntil(() => held.length === 1);
  caller.socket.write(Buffer.alloc(BODY_BYTES));
  // Before the end of the longest pause, after which the rest is read and discarded.
  await new Promise((resolve) => setTimeout(resolve, 700));
  expect(caller.socket.bytesWritten - caller.socket.writableLength).toBeLessThan(MOST_SENT);
  caller.socket.destroy();
});
