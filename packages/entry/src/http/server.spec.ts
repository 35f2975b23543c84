import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { blockLoop } from '@jasmineroute/testkit';
import { afterEach, describe, expect, it } from 'vitest';
import { entryEvents } from '../events.js';
import { TestServer, requestBytes } from '../testing/callerServer.js';
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

describe('a connection that this side ends', () => {
  /** More than a caller's system takes while the caller does not read, less than this side's system takes. */
  const LARGE = 'x'.repeat(1_000_000);

  /** Answers "/large" with a large body that ends when told, and everything else with a short one. */
  async function startLarge(): Promise<{ scene: TestServer; finish: () => Promise<void> }> {
    let large: ServerResponse | undefined;
    const scene = await start((incoming, outgoing) => {
      if (incoming.url === '/large') {
        large = outgoing;
        outgoing.write(LARGE);
      } else outgoing.end('short');
    });
    const finish = async (): Promise<void> => {
      large?.end();
      await waitUntil(() => large?.writableFinished === true);
    };
    return { scene, finish };
  }

  // Guards against the end of an answer that is lost: the close meets bytes that were not read, and the system resets the
  // connection and drops what it has not delivered.
  it.each([
    ['after an answer that has said so', 'Connection: close\r\n', false],
    ['after an answer in a planned stop', '', true],
  ])('delivers all of it, %s, when its caller sends more', async (_title, fields, isStopping) => {
    const { scene, finish } = await startLarge();
    const caller = scene.connect();
    caller.socket.pause();
    caller.ask('/large', '', fields);
    await waitUntil(() => scene.handled.length === 1);
    const drained = isStopping ? scene.server.drain(0) : undefined;
    await finish();
    caller.ask('/late');
    caller.socket.resume();
    await waitUntil(() => caller.isEnded || caller.isClosed);
    expect(caller.text.length).toBeGreaterThan(LARGE.length);
    expect(caller.text.endsWith('0\r\n\r\n')).toBe(true);
    expect(caller.error).toBe('');
    expect(scene.handled).toEqual(['/large']);
    caller.socket.destroy();
    await drained;
  });

  // Guards against a request that runs although its connection has ended, so that its answer is lost.
  it('handles no request that arrives later', async () => {
    const { scene } = await startLarge();
    const caller = scene.connect();
    caller.ask('/short');
    await waitUntil(() => caller.text.endsWith('short'));
    const drained = scene.server.drain(0);
    await waitUntil(() => caller.isEnded);
    caller.ask('/late');
    await drained;
    expect(scene.handled).toEqual(['/short']);
    const [end] = scene.linesOf(entryEvents.connectionEnded);
    expect(end?.lateBytes).toBeGreaterThan(0);
  });

  // Guards against a stop that lasts as long as callers keep their sides open.
  it('is closed after some time when its caller does not close it', async () => {
    const CALLERS = 500;
    const { scene } = await startLarge();
    const callers = Array.from({ length: CALLERS }, () => scene.connect());
    for (const caller of callers) caller.ask('/short');
    await waitUntil(() => callers.every(({ text }) => text.endsWith('short')));
    const begunAt = performance.now();
    await scene.server.drain(0);
    expect(performance.now() - begunAt).toBeLessThan(5_000);
    expect(scene.server.stopRecord()).toMatchObject({ ended: { idle: CALLERS } });
    for (const { socket } of callers) socket.destroy();
  });

  // Guards against a refusal that is lost while its caller still sends its body.
  it('delivers a refusal to a caller that still sends', async () => {
    const scene = await start((_incoming, outgoing) => {
      outgoing.setHeader('connection', 'close');
      outgoing.statusCode = 413;
      outgoing.end('too large');
    });
    const caller = scene.connect();
    caller.socket.write('POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n');
    for (let piece = 0; piece < 40; piece += 1) caller.socket.write(LARGE.slice(0, 100_000));
    await waitUntil(() => caller.isEnded || caller.isClosed);
    expect(caller.text).toContain('too large');
    expect(caller.error).toBe('');
    caller.socket.destroy();
  });
});

describe('requests that are sent together', () => {
  const TOGETHER = requestBytes('/first') + requestBytes('/second');

  /** Answers each request with its path when told. */
  async function startHeld(): Promise<{ scene: TestServer; finish: (path: string) => void }> {
    const held = new Map<string, ServerResponse>();
    const scene = await start((incoming, outgoing) => {
      held.set(incoming.url ?? '', outgoing);
      return once(outgoing, 'close');
    });
    const finish = (path: string): void => {
      held.get(path)?.end(`done ${path}`);
    };
    return { scene, finish };
  }

  // Guards against an answer that is lost in a planned stop because the one before it closes the connection.
  it.each(['the requests', 'the first answer', 'the second answer'])(
    'are handled in turn and all answered in a planned stop that begins before %s',
    async (moment) => {
      const { scene, finish } = await startHeld();
      const stops: Promise<void>[] = [];
      const stopBefore = (next: string): void => {
        if (next !== moment) return;
        scene.server.stopKeepAlive();
        stops.push(scene.server.drain(0));
      };
      const caller = scene.connect();
      await waitUntil(() => scene.server.connections === 1);
      stopBefore('the requests');
      caller.socket.write(TOGETHER);
      await waitUntil(() => scene.server.stopRecord().requests === 2);
      expect(scene.handled).toEqual(['/first']);
      stopBefore('the first answer');
      finish('/first');
      await waitUntil(() => scene.handled.length === 2);
      await waitUntil(() => caller.text.includes('done /first'));
      stopBefore('the second answer');
      finish('/second');
      await waitUntil(() => caller.isEnded || caller.isClosed);
      expect(scene.handled).toEqual(['/first', '/second']);
      expect(caller.text).toMatch(/done \/first[^]*connection: close[^]*done \/second/i);
      expect(caller.text.match(/connection: close/gi)).toHaveLength(1);
      expect(caller.error).toBe('');
      caller.socket.destroy();
      await Promise.all(stops);
    },
  );

  // Guards against a request that runs although its answer can't be sent: the answer in front was broken off.
  it.each([
    ['broken off', (answer: ServerResponse) => answer.socket?.destroySoon()],
    ['destroyed', (answer: ServerResponse) => answer.destroy()],
    ['said to be the last one', (answer: ServerResponse) => answer.setHeader('connection', 'close').end()],
  ])('are not handled behind an answer that is %s', async (_title, end) => {
    const held: ServerResponse[] = [];
    const scene = await start((_incoming, outgoing) => {
      held.push(outgoing);
      return once(outgoing, 'close');
    });
    const caller = scene.connect();
    caller.socket.write(TOGETHER);
    await waitUntil(() => scene.server.stopRecord().requests === 2);
    held.forEach(end);
    await waitUntil(() => caller.isEnded || caller.isClosed);
    caller.socket.destroy();
    await waitUntil(() => scene.server.connections === 0);
    expect(scene.handled).toEqual(['/first']);
  });

  // Guards against a request that runs for a caller that has left, and a stop that waits for it.
  it('are not handled when the caller leaves while they wait', async () => {
    const { scene, finish } = await startHeld();
    const caller = scene.connect();
    caller.socket.write(TOGETHER);
    await waitUntil(() => scene.server.stopRecord().requests === 2);
    caller.socket.destroy();
    await waitUntil(() => scene.server.connections === 0);
    finish('/first');
    await scene.server.drain(0);
    expect(scene.handled).toEqual(['/first']);
    expect(scene.server.stopRecord()).toMatchObject({ requests: 0 });
  });

  // Guards against memory that one caller fills with requests that wait, as the reading of each body reads on.
  it('are read only as far as some of them wait', async () => {
    const REQUESTS = 20_000;
    const MOST_WAITING = 3_000;
    let mostWaiting = 0;
    let body = '';
    const scene = await start(async (incoming, outgoing) => {
      mostWaiting = Math.max(mostWaiting, Number(scene.server.stopRecord().requests));
      for await (const part of incoming) body += String(part);
      outgoing.end('short');
    });

    const caller = scene.connect();
    caller.socket.write(requestBytes('/', 'x').repeat(REQUESTS));
    await waitUntil(() => scene.handled.length === REQUESTS && body.length === REQUESTS);
    expect(mostWaiting).toBeLessThan(MOST_WAITING);
    caller.socket.destroy();
  }, 30_000);

  // Guards against a request that runs behind an answer that has said that it is the last one.
  it('are not handled behind an answer that has begun with "Connection: close"', async () => {
    const scene = await start((incoming, outgoing) => {
      outgoing.write(`begun ${incoming.url ?? ''}`);
    });
    const caller = scene.connect();
    await waitUntil(() => scene.server.connections === 1);
    const drained = scene.server.drain(0);
    caller.ask('/first');
    await waitUntil(() => caller.text.includes('begun /first'));
    caller.ask('/second');
    caller.ask('/third');
    caller.socket.end();
    await drained;
    expect(scene.handled).toEqual(['/first']);
  });

  // Guards against an answer that is cut off by the refusal of a tunnel, or that waits for ever for its caller to read on.
  it('are answered up to a tunnel that is asked for', async () => {
    const held: ServerResponse[] = [];
    const scene = await start((_incoming, outgoing) => held.push(outgoing));
    const caller = scene.connect();
    caller.socket.write(`${requestBytes('/first')}CONNECT b.example:1 HTTP/1.1\r\nHost: b.example\r\n\r\n`);
    await waitUntil(() => held.length === 1);
    const [answer] = held;
    answer?.write('begun, ');
    await waitUntil(() => caller.text.includes('begun'));
    if (answer?.write('x'.repeat(8_000_000)) === false) await once(answer, 'drain');
    answer?.end('done');
    await waitUntil(() => caller.isEnded);
    expect(caller.text).not.toContain('400');
    expect(caller.text).toMatch(/x\r\n4\r\ndone\r\n0\r\n\r\n$/);
    caller.socket.destroy();
  });

  // Guards against an answer that is cut off by what its caller sends behind the request.
  it.each([
    ['bytes that are no request', 'no request at all\r\n\r\n'],
    ['a head that is not valid', 'POST /second HTTP/1.1\r\nbad field\r\n\r\n'],
    ['a body that is not valid', 'POST /second HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'],
    ['a head that does not end', 'POST /second HTTP/1.1\r\nHos'],
  ])('are answered up to %s', async (_title, behind) => {
    const held: ServerResponse[] = [];
    const scene = await start((_incoming, outgoing) => held.push(outgoing), { headerTimeoutMs: 300 });
    const caller = scene.connect();
    caller.socket.write(requestBytes('/first') + behind);
    await waitUntil(() => scene.linesOf(entryEvents.badConnection).length === 1);
    held[0]?.write('begun, ');
    await waitUntil(() => caller.text.includes('begun'));
    held[0]?.end('done');
    await waitUntil(() => caller.isEnded || caller.isClosed);
    expect(caller.text).toMatch(/^HTTP\/1.1 200 [^]*connection: close[^]*begun, [^]*done\r\n0\r\n\r\n$/i);
    expect(caller.error).toBe('');
    caller.socket.destroy();
  });

  // Guards against work that goes on for a caller that has left, as its connection is no longer parsed.
  it('are given up when the caller leaves behind bytes that are no request', async () => {
    let isGone = false;
    const scene = await start((_incoming, outgoing) => {
      outgoing.write('begun');
      outgoing.once('close', () => (isGone = true));
    });
    const caller = scene.connect();
    caller.socket.write(`${requestBytes('/first')}no request at all\r\n\r\n`);
    await waitUntil(() => scene.linesOf(entryEvents.badConnection).length === 1);
    caller.socket.destroy();
    await waitUntil(() => isGone);
  });
});

describe('a planned stop', () => {
  // Guards against a process that ends under a request in progress, as its connection is not open any more.
  it('waits for requests whose connections are closed', async () => {
    let finish: () => void = () => undefined;
    const finished = new Promise<void>((resolve) => (finish = resolve));
    const scene = await start(() => finished);
    const caller = scene.connect();
    caller.ask('/long');
    await waitUntil(() => scene.handled.length === 1);
    caller.socket.destroy();
    await waitUntil(() => scene.server.connections === 0);
    let isDrained = false;
    const drained = scene.server.drain(0).then(() => (isDrained = true));
    await new Promise((resolve) => setImmediate(resolve));
    expect(scene.server.stopRecord()).toMatchObject({ requests: 1, connections: { answering: 0 } });
    expect(isDrained).toBe(false);
    finish();
    await drained;
    expect(scene.server.stopRecord()).toMatchObject({ requests: 0 });
  });

  // Guards against connections that are reset as the listener closes: the process stood still while they came.
  it.each([0, 20_000])(
    'accepts what came while its event loop stood still, waiting %d ms',
    async (maxWaitMs) => {
      const CALLERS = 20;
      const scene = await start((_incoming, outgoing) => outgoing.end('short'));
      const before = scene.connect();
      await waitUntil(() => scene.server.connections === 1);
      const callers = Array.from({ length: CALLERS }, () => scene.connect());
      for (const caller of callers) caller.ask('/short');
      await new Promise<void>((resolve) => {
        process.nextTick(resolve);
      });
      const drained = scene.server.drain(maxWaitMs);
      blockLoop(400);
      await waitUntil(() => callers.every(({ isEnded, isClosed }) => isEnded || isClosed));
      for (const { text, error } of callers)
        expect({ text, error }).toEqual({ text: expect.stringMatching(/short$/) as string, error: '' });
      for (const { socket } of [before, ...callers]) socket.destroy();
      await drained;
    },
  );

  // Guards against a process that outlives its grace, and is killed, for callers that do not close their connections.
  it('waits no longer than its end for connections that it has ended', async () => {
    const scene = await start((_incoming, outgoing) => outgoing.end('short'));
    const caller = scene.connect();
    caller.ask('/short', '', 'Connection: close\r\n');
    await waitUntil(() => caller.isEnded);
    const begunAt = performance.now();
    await scene.server.drain(0, begunAt + 500);
    expect(performance.now() - begunAt).toBeLessThan(1_500);
    caller.socket.destroy();
  });
});

// Guards against a process that ends when a caller resets the connection on which it asked for a tunnel.
it('survives a caller that resets after it asked for a tunnel', async () => {
  const scene = await start((_incoming, outgoing) => outgoing.end('short'));
  const caller = scene.connect();
  caller.socket.write('CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n');
  await waitUntil(() => caller.isEnded);
  expect(caller.text).toMatch(/^HTTP\/1.1 400 /);
  caller.socket.resetAndDestroy();
  await waitUntil(() => scene.server.connections === 0);
  const next = scene.connect();
  next.ask('/short');
  await waitUntil(() => next.text.endsWith('short'));
  next.socket.destroy();
});
