import { once } from 'node:events';
import { createServer } from 'node:http2';
import type { ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { SessionManager } from './sessionManager.js';

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
