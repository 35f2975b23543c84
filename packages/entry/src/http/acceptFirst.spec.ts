import { blockLoop, callFromThread } from '@jasmineroute/testkit';
import { afterEach, expect, it } from 'vitest';
import { TestServer } from '../testing/callerServer.js';

const CALLERS = 40;

/** Time that the handling of a request takes without a rest, milliseconds. */
const WORK_MS = 20;

/** Time in which all callers connect and send their requests, milliseconds. */
const BLOCKED_MS = 700;

/** Number of requests that may be handled before all connections that have arrived are accepted. */
const HANDLED_FIRST = 4;

let test: TestServer;

afterEach(async () => {
  await test.server.close();
});

// Guards against connections that wait to be accepted behind the handling of requests on others: one is accepted in each turn
// of the event loop, so a burst of callers is read only after as many turns, each as long as the work in it.
it('connections that have arrived are accepted before requests are handled', async () => {
  const acceptedWhenHandled: number[] = [];
  test = await TestServer.start((_incoming, outgoing) => {
    blockLoop(WORK_MS);
    acceptedWhenHandled.push(test.server.accepted);
    outgoing.end('done');
  });
  const request = 'POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';
  const requests = Array.from({ length: CALLERS }, () => request);
  const called = callFromThread({ address: test.address, requests });
  blockLoop(BLOCKED_MS);
  const calls = await called;
  expect(calls.filter(({ answer }) => answer.startsWith('HTTP/1.1 200'))).toHaveLength(CALLERS);
  expect(acceptedWhenHandled[HANDLED_FIRST]).toBe(CALLERS);
});
