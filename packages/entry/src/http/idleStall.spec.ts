/** Connections that seem idle in a planned stop, as the process stands still. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { systemClock } from '@jasmineroute/core';
import { blockLoop } from '@jasmineroute/testkit';
import { afterEach, expect, it } from 'vitest';
import { TestServer } from '../testing/callerServer.js';
import { waitUntil } from '../testing/testEntry.js';

let test: TestServer | undefined;

afterEach(async () => {
  await test?.server.close();
});

// Guards against a request that is closed without an answer: it arrived while the process stood still after it had read, and
// before it looked for idle connections.
it('a connection on which a request came while the process stood still is not ended as idle', async () => {
  let afterSleep = (): void => undefined;
  const clock = {
    ...systemClock,
    sleep: async (ms: number, signal?: AbortSignal) => {
      await systemClock.sleep(ms, signal);
      afterSleep();
    },
  };
  test = await TestServer.start((_incoming, outgoing) => outgoing.end('short'), {}, clock);
  const { server } = test;
  const caller = test.connect();
  await waitUntil(() => server.connections === 1);
  server.stopKeepAlive();
  afterSleep = () => {
    afterSleep = () => undefined;
    void nextTurn().then(() => {
      caller.ask('/short');
      blockLoop(1_200);
    });
  };
  await waitUntil(() => caller.isEnded || caller.isClosed);
  expect(caller.text).toMatch(/connection: close[^]*short$/i);
  expect(caller.error).toBe('');
  caller.socket.destroy();
});
