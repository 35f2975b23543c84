/** Callers that leave while requests wait for their turn. */
import { afterEach, describe, expect, it } from 'vitest';
import { TestServer, requestBytes } from '../testing/callerServer.js';

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe('a caller that leaves while requests wait for their turn', () => {
  let test: TestServer;
  afterEach(async () => {
    await test.server.close();
  });

  async function isLeaveSeen(behind: string): Promise<boolean> {
    let isSeen = false;
    test = await TestServer.start(async (incoming, outgoing) => {
      incoming.resume();
      if (incoming.url !== '/a') return;
      await new Promise<void>((resolve) => outgoing.once('close', resolve));
      isSeen = true;
    });
    const caller = test.connect();
    caller.socket.write(requestBytes('/a') + behind);
    await pause(300);
    caller.socket.resetAndDestroy();
    const isLeft = (): boolean => isSeen;
    for (let waitedMs = 0; waitedMs < 2_000 && !isLeft(); waitedMs += 20) await pause(20);
    return isSeen;
  }

  // Guards against requests that run on for nobody, as their connection is not read.
  it('is seen where nothing is behind', async () => {
    expect(await isLeaveSeen('')).toBe(true);
  });

  // Guards against the same where the body of a waiting request fills the buffers.
  it('is seen behind one with a long body', async () => {
    expect(await isLeaveSeen(requestBytes('/b', 'x'.repeat(200_000)))).toBe(true);
  });

  // Guards against the same where too many requests wait.
  it('is seen behind 20 short ones', async () => {
    expect(await isLeaveSeen(requestBytes('/b').repeat(20))).toBe(true);
  });
});
