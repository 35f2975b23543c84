import { once } from 'node:events';
import { createServer } from 'node:http2';
import type { ServerHttp2Session } from 'node:http2';
import type { AddressInfo, Socket } from 'node:net';
import { expect, it } from 'vitest';
import { SessionManager } from './sessionManager.js';

/** Idle time after which a connection is checked, milliseconds. */
const PING_MS = 50;

it('survives a session that is dropped right after a GOAWAY', async () => {
  // Symptom: a daemon exits with an uncaught error while another process of the system stops.
  // Sequence: the other side says GOAWAY on an idle connection; the connection is dropped in the same moment.
  // Cause: the library takes its listeners off before the session has reported its error.
  const server = createServer((_, response) => response.end());
  const sessions: ServerHttp2Session[] = [];
  server.on('session', (session) => sessions.push(session));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const errors: unknown[] = [];
  const note = (error: unknown): void => {
    errors.push(error);
  };
  process.on('uncaughtException', note);
  const manager = new SessionManager(`http://127.0.0.1:${port}`);
  const stream = await manager.request('GET', '/', {}, {});
  const session = stream.session;
  stream.resume();
  await once(stream, 'close');
  const goaway = once(session ?? stream, 'goaway');
  sessions[0]?.goaway();
  await goaway;
  manager.abort();
  const closed = new Promise((resolve) => server.close(resolve));
  for (const one of sessions) one.destroy();
  await closed;
  for (let step = 0; step < 20; step += 1) await new Promise((resolve) => setImmediate(resolve));
  process.off('uncaughtException', note);
  expect(errors).toEqual([]);
});

// Guards against a process that ends as another one is lost: two connections were made at once, and the failure of the forgotten one was nobody's.
it('survives a connection that breaks while it is checked and is asked for again', async () => {
  const server = createServer((request, response) => {
    if (request.url === '/open') response.write('begun');
    else response.end();
  });
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => sockets.push(socket));
  server.on('session', (session) => session.on('error', () => undefined));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const errors: unknown[] = [];
  const note = (error: unknown): void => {
    errors.push(error);
  };
  process.on('uncaughtException', note);
  const pings = { pingIntervalMs: PING_MS, pingTimeoutMs: 1_000 };
  const manager = new SessionManager(`http://127.0.0.1:${port}`, pings);
  const ask = (): Promise<unknown> => manager.request('GET', '/', {}, {}).catch((error: unknown) => error);
  const open = await manager.request('GET', '/open', {}, {});
  await once(open, 'response');
  const again = new Promise((resolve) => {
    open.on('error', () => {
      resolve(ask());
    });
  });
  // The event loop is held up, so that the connection is due to be checked when it is used next.
  await new Promise((resolve) => setTimeout(resolve, PING_MS / 2));
  const until = performance.now() + PING_MS;
  while (performance.now() < until);
  const checked = ask();
  server.close();
  for (const socket of sockets) socket.resetAndDestroy();
  await Promise.all([checked, again]);
  for (let step = 0; step < 20; step += 1) await new Promise((resolve) => setImmediate(resolve));
  process.off('uncaughtException', note);
  manager.abort();
  expect(errors).toEqual([]);
});
