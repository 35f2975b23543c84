/** Requests that were sent whole and wait for their turn. */
import { afterEach, expect, it } from 'vitest';
import { TestServer, requestBytes } from '../testing/callerServer.js';
import { waitUntil } from '../testing/testEntry.js';

const BODY_BYTES = 200_000;

let test: TestServer | undefined;

afterEach(async () => {
  await test?.server.close();
});

// Guards against a request that gets no answer, as the time for its body passes while it waits for its turn.
it('a request that was sent whole and waits for its turn is not timed out as incomplete', async () => {
  test = await TestServer.start(
    async (incoming, outgoing) => {
      let length = 0;
      for await (const chunk of incoming) length += (chunk as Buffer).length;
      if (incoming.url === '/a') await new Promise((resolve) => setTimeout(resolve, 4_000));
      outgoing.end(`answer to ${incoming.url ?? ''}, ${length}.`);
    },
    { headerTimeoutMs: 1_000, requestTimeoutMs: 1_000 },
  );
  const caller = test.connect();
  caller.socket.write(requestBytes('/a') + requestBytes('/b', 'x'.repeat(BODY_BYTES)));
  await waitUntil(() => caller.isEnded || caller.text.includes('answer to /b'));
  expect(caller.text).toContain('answer to /a');
  expect(caller.text).toContain(`answer to /b, ${BODY_BYTES}.`);
  caller.socket.destroy();
});
