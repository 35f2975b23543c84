import { once } from 'node:events';
import { createServer } from 'node:http2';
import type { ServerHttp2Session } from 'node:http2';
import type { AddressInfo, Socket } from 'node:net';
import { expect, it } from 'vitest';
import { SessionManager } from './sessionManager.js';

/** Idle time after which a connection is pinged, milliseconds. */
const PING_MS = 50;

it('survives a session that is dropped right after a GOAWAY', async () => {
  // Guards against a daemon that exits with an uncaught error while another process stops: the server sends GOAWAY on an idle
  // connection, which is dropped at that moment, so the library removes its listeners before the session emits its error.
  const server = createServer((_, response) => response.end());
  const sessions: ServerHttp2Session[] = [];
  server.on('session', (session) => sessions.push(session));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const errors: unknown[] = [];
  const recordError = (error: unknown): void => {
    errors.push(error);
  };
  process.on('uncaughtException', recordError);
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
  process.off('uncaughtException', recordError);
  expect(errors).toEqual([]);
});

// Guards against a process that ends when another one is lost: two connections are started, and the failure of the dropped one
// has no listener.
it('survives a connection that breaks during a ping and is requested again', async () => {
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
  const recordError = (error: unknown): void => {
    errors.push(error);
  };
  process.on('uncaughtException', recordError);
  const pings = { pingIntervalMs: PING_MS, pingTimeoutMs: 1_000 };
  const manager = new SessionManager(`http://127.0.0.1:${port}`, pings);
  const request = (): Promise<unknown> =>
    manager.request('GET', '/', {}, {}).catch((error: unknown) => error);
  const open = await manager.request('GET', '/open', {}, {});
  await once(open, 'response');
  const again = new Promise((resolve) => {
    open.on('error', () => {
      resolve(request());
    });
  });
  // Blocks the event loop, so that the connection is due for a ping when it is used next.
  await new Promise((resolve) => setTimeout(resolve, PING_MS / 2));
  const until = performance.now() + PING_MS;
  while (performance.now() < until);
  const pinged = request();
  server.close();
  for (const socket of sockets) socket.resetAndDestroy();
  await Promise.all([pinged, again]);
  for (let step = 0; step < 20; step += 1) await new Promise((resolve) => setImmediate(resolve));
  process.off('uncaughtException', recordError);
  manager.abort();
  expect(errors).toEqual([]);
});
