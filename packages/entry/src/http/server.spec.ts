import { afterEach, describe, expect, it } from 'vitest';
import { entryEvents } from '../events.js';
import { TestServer } from '../testing/callerServer.js';
import { waitUntil } from '../testing/testEntry.js';

let test: TestServer | undefined;

async function start(...args: Parameters<typeof TestServer.start>): Promise<TestServer> {
  test = await TestServer.start(...args);
  return test;
}

afterEach(async () => {
  await test?.server.close();
});

describe('ends of connections', () => {
  // Without these lines nobody can tell who closed the connection of an answer that a stop cut off.
  it('are logged during a planned stop with who ended them and what was left', async () => {
    let finish: () => void = () => undefined;
    const scene = await start((incoming, outgoing) => {
      outgoing.write('begun');
      if (incoming.url === '/long') finish = () => outgoing.end();
      else outgoing.end();
    });
    const { server } = scene;
    const [idle, answered, leaving] = [scene.connect(), scene.connect(), scene.connect()];
    idle.ask('/short');
    leaving.ask('/short');
    answered.ask('/long');
    await waitUntil(() => [idle, answered, leaving].every(({ text }) => text.includes('begun')));
    const drained = server.drain(0);
    leaving.socket.destroy();
    finish();
    await waitUntil(() => idle.isEnded && answered.isEnded);
    for (const { socket } of [idle, answered]) socket.destroy();
    await drained;
    const causes = scene.linesOf(entryEvents.connectionEnded).map(({ cause }) => cause);
    expect(causes.sort()).toEqual(['answered', 'caller', 'idle']);
    expect(server.stopRecord()).toMatchObject({
      connections: { answering: 0, idle: 0, ending: 0 },
      ended: { answered: 1, caller: 1, idle: 1 },
    });
  });
});
