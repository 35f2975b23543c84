import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { fault, silentLog, systemClock } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Dispatcher } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';
import { createHttpEngine } from '../http/index.js';
import { createPlainTarget } from '../plain/index.js';
import type { Engine, EngineAnswer, EngineRequest } from '../port/index.js';
import { readWhole } from './answer.js';
import { Connections } from './connections.js';
import { exchange } from './exchange.js';
import { FaultError } from './failure.js';

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function serve(handler: Handler): Promise<{ url: string; server: Server; sockets: Set<Socket> }> {
  const sockets = new Set<Socket>();
  const server = createServer((request, response) => {
    const parts: Buffer[] = [];
    request.on('data', (part: Buffer) => parts.push(part));
    request.on('end', () => {
      handler(request, response, Buffer.concat(parts).toString());
    });
  });
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  closers.push(
    () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  );
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, server, sockets };
}

function engineAt(baseUrl: string, silenceMs = 5_000): Engine {
  const engine = createHttpEngine({ baseUrl, clock: systemClock, log: silentLog, silenceMs });
  closers.push(() => engine.close?.() ?? Promise.resolve());
  return engine;
}

function plainAt(baseUrl: string): Engine {
  const target = createPlainTarget({ baseUrl, clock: systemClock, log: silentLog, capacity: 4 });
  closers.push(() => target.close?.() ?? Promise.resolve());
  return target;
}

function requestOf(
  attemptId: string,
  body: object = { model: 'm', prompt: 'p', stream: true },
): EngineRequest {
  return {
    requestId: 'request',
    attemptId,
    method: 'POST',
    path: '/v1/completions',
    headers: [],
    body: Buffer.from(JSON.stringify(body)),
    priority: 7,
    cacheSalt: 'customer-a',
    deadlineMs: 10_000,
  };
}

const neverAborted = new AbortController().signal;

async function textOf(answer: EngineAnswer): Promise<string> {
  const parts: Uint8Array[] = [];
  for await (const part of answer.body) parts.push(part);
  return Buffer.concat(parts).toString();
}

async function faultErrorOf(answer: EngineAnswer): Promise<FaultError> {
  const error: unknown = await textOf(answer).catch((caught: unknown) => caught);
  expect(error).toBeInstanceOf(FaultError);
  return error as FaultError;
}

function startStream(request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-request-id': request.headers['x-request-id'],
    'x-engine-incarnation': 'one',
  });
  response.flushHeaders();
}

describe('an answer over HTTP', () => {
  it('forwards complete events, counts them and reads the usage', async () => {
    const { url } = await serve((request, response) => {
      startStream(request, response);
      response.write(': ping\n\nid: 0\ndata: {"a":1}\n\nid: 1\nda');
      response.write('ta: {"usage":{"prompt_tokens":9,"completion_tokens":2,');
      response.write('"prompt_tokens_details":{"cached_tokens":4}}}\n\n: ping\n\ndata: [DONE]\n\n');
      response.end();
    });
    const answer = (await engineAt(url).send(requestOf('a-1'), neverAborted))._unsafeUnwrap();
    const text = await textOf(answer);
    expect(text).not.toContain('ping');
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
    expect(answer.events?.()).toBe(3);
    expect(answer.usage?.()).toEqual({ promptTokens: 9, cachedTokens: 4, outputTokens: 2 });
    expect(answer.incarnation).toBe('one');
  });

  it('adds priority and cache salt after the fields of the caller', async () => {
    const bodies: string[] = [];
    const { url } = await serve((request, response, body) => {
      bodies.push(body);
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      response.setHeader('content-type', 'application/json');
      response.end('{"ok":true}');
    });
    const engine = engineAt(url);
    const own = { model: 'm', prompt: 'p', cache_salt: 'customer-b', priority: -99 };
    await textOf(
      (await engine.send(requestOf('a-1', { model: 'm', prompt: 'p' }), neverAborted))._unsafeUnwrap(),
    );
    await textOf((await engine.send(requestOf('a-2', own), neverAborted))._unsafeUnwrap());
    const expected = { model: 'm', prompt: 'p', priority: -7, cache_salt: 'customer-a' };
    expect(bodies.map((body): unknown => JSON.parse(body))).toEqual([expected, expected]);
    // With two fields of one name, which one counts would depend on the parser.
    expect(bodies.map((body) => body.match(/cache_salt|priority/g)?.length)).toEqual([2, 2]);
  });

  it('does not take a clean end of the connection for the end of the stream', async () => {
    // Guards against half an answer that looks complete: the engine stops between two events and closes its connection
    // cleanly. Only [DONE] ends a stream.
    const { url } = await serve((request, response) => {
      startStream(request, response);
      response.end('id: 0\ndata: {"a":1}\n\n');
    });
    const answer = (await engineAt(url).send(requestOf('a-1'), neverAborted))._unsafeUnwrap();
    const { fault } = await faultErrorOf(answer);
    expect(fault.kind).toBe('stream-broken');
    expect(fault.ran).toBe('may-have-run');
    expect(answer.events?.()).toBe(1);
  });

  it('aborts a silent stream and never reuses its connection', async () => {
    // Guards against a caller that waits for good, and another one that later gets the first one's text: a middlebox drops
    // the connection, which then carries no byte, and the pool reuses it for a new request.
    let calls = 0;
    const ports: (number | undefined)[] = [];
    const { url } = await serve((request, response) => {
      calls++;
      ports.push(request.socket.remotePort);
      startStream(request, response);
      if (calls > 1) response.end('data: [DONE]\n\n');
    });
    const engine = engineAt(url, 500);
    const first = (await engine.send(requestOf('a-1'), neverAborted))._unsafeUnwrap();
    expect((await faultErrorOf(first)).fault.message).toContain('no byte for 500 ms');
    const second = (await engine.send(requestOf('a-2'), neverAborted))._unsafeUnwrap();
    expect(await textOf(second)).toBe('data: [DONE]\n\n');
    expect(new Set(ports).size).toBe(2);
  });

  it('counts heartbeat comments as activity', async () => {
    const { url } = await serve((request, response) => {
      startStream(request, response);
      let pings = 0;
      const timer = setInterval(() => {
        pings++;
        response.write(pings < 16 ? ': ping\n\n' : 'data: [DONE]\n\n');
        if (pings < 16) return;
        clearInterval(timer);
        response.end();
      }, 100);
    });
    const answer = (await engineAt(url, 1_000).send(requestOf('a-1'), neverAborted))._unsafeUnwrap();
    expect(await textOf(answer)).toBe('data: [DONE]\n\n');
  });

  it('detects a JSON answer that the engine has finished and that does not arrive', async () => {
    // Guards against a caller that waits until its deadline for an answer that is long ready: its connection carries nothing
    // any more, is not closed, and is just as silent while the engine works.
    let asked = '';
    const { url } = await serve((request, response) => {
      if (request.method !== 'GET') return;
      asked = request.url ?? '';
      startStream(request, response);
      setTimeout(() => response.end('data: [DONE]\n\n'), 50);
    });
    const answer = await engineAt(url, 100).send(requestOf('a-1', { model: 'm', prompt: 'p' }), neverAborted);
    expect(answer._unsafeUnwrapErr()).toMatchObject({ kind: 'stream-broken', ran: 'may-have-run' });
    expect(asked).toMatch(/^\/v1\/streams\/a-1\?from=/);
  });

  it('waits for a slow JSON answer, also of an engine without a stream for it', async () => {
    const { url } = await serve((request, response) => {
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      response.setHeader('content-type', 'application/json');
      if (request.method === 'GET') response.writeHead(404).end('{}');
      else setTimeout(() => response.end('{"ok":true}'), 500);
    });
    const answer = await engineAt(url, 100).send(requestOf('a-1', { model: 'm', prompt: 'p' }), neverAborted);
    expect(await textOf(answer._unsafeUnwrap())).toBe('{"ok":true}');
  });

  it('refuses an answer with the id of another request', async () => {
    // Guards against a caller that gets the answer to another caller's request: an engine or a middlebox before it answers out
    // of step on a reused connection.
    const { url } = await serve((_request, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': 'a-0' });
      response.end('data: [DONE]\n\n');
    });
    const answer = await engineAt(url).send(requestOf('a-1'), neverAborted);
    expect(answer._unsafeUnwrapErr().kind).toBe('answer-mismatch');
  });

  it('reports a request as not run only when no byte was sent', async () => {
    // Guards against a request that has run, is reported as not run and runs again: a closed port proves that it has not run,
    // a reset after the request was read does not.
    let seen = 0;
    const { url, server } = await serve((request) => {
      seen++;
      request.socket.resetAndDestroy();
    });
    const plain = plainAt(url);
    const reset = (await plain.send(requestOf('a-1'), neverAborted))._unsafeUnwrapErr();
    expect(reset.ran).toBe('may-have-run');
    expect(seen).toBe(1);
    await new Promise((resolve) => server.close(resolve));
    const refused = (await plain.send(requestOf('a-2'), neverAborted))._unsafeUnwrapErr();
    expect(refused.kind).toBe('target-unreachable');
    expect(refused.ran).toBe('not-run');
    expect(seen).toBe(1);
  });

  it('stops a retry by the HTTP library', async () => {
    // Guards against one request that is executed twice without a retry by this system: the HTTP library sends a request
    // again whose connection broke.
    const aborted: string[] = [];
    const controller = (name: string) =>
      ({ abort: () => aborted.push(name) }) as unknown as Dispatcher.DispatchController;
    const pool = {
      dispatch: (_options: unknown, handler: Dispatcher.DispatchHandler) => {
        handler.onRequestStart?.(controller('first'), {});
        handler.onRequestStart?.(controller('second'), {});
        handler.onResponseError?.(controller('second'), new Error('stopped'));
        return true;
      },
    } as unknown as Dispatcher;
    const wire = { method: 'POST', path: '/', headers: {} };
    const answer = await exchange(pool, wire, systemClock, neverAborted);
    expect(aborted).toEqual(['second']);
    expect(answer._unsafeUnwrapErr().ran).toBe('may-have-run');
  });

  it('sends a request that must not run twice on a new connection', async () => {
    // Guards against a call that must not be repeated and ends as "may have run" on an idle system: the service closes a reused
    // connection just as the call is written to it, and whether it has read the call is unknown.
    const ports: (number | undefined)[] = [];
    const { url } = await serve((request, response) => {
      ports.push(request.socket.remotePort);
      response.end('ok');
    });
    const plain = plainAt(url);
    for (const attemptId of ['a-1', 'a-2', 'a-3']) {
      const answer = await plain.send({ ...requestOf(attemptId), idempotent: false }, neverAborted);
      expect(await textOf(answer._unsafeUnwrap())).toBe('ok');
    }
    expect(new Set(ports).size).toBe(3);
  });

  it('keeps the connection of a request that is withheld before its first byte', async () => {
    // Guards against a new connection for each request that is taken back, as the one in hand is closed with it.
    const received: (string | undefined)[] = [];
    const { url, sockets } = await serve((request, response) => {
      received.push(request.url);
      response.end('ok');
    });
    const connections = new Connections(url, 1);
    closers.push(() => connections.close());
    const ask = async (path: string, problem?: Fault) => {
      const wire = { method: 'GET', path, headers: {}, beforeSend: () => problem };
      const answer = await exchange(connections.pool(), wire, systemClock, neverAborted);
      if (answer.isErr()) return answer.error;
      return (await readWhole(answer.value, 100))._unsafeUnwrap().toString();
    };
    expect(await ask('/first')).toBe('ok');
    const withheld = await ask('/withheld', fault('target-leaving', 'drains', { ran: 'may-have-run' }));
    expect(withheld).toMatchObject({ kind: 'target-leaving', ran: 'not-run' });
    expect(await ask('/last')).toBe('ok');
    expect(received).toEqual(['/first', '/last']);
    expect(sockets.size).toBe(1);
  });

  it('pauses the target when the reader is slow', async () => {
    // Guards against a process beside the target that grows until it is killed: a reader stops reading while the target goes on
    // writing megabytes, and chunks are queued without a bound.
    const block = Buffer.alloc(64 * 1024, 'x');
    let written = 0;
    const { url } = await serve((_request, response) => {
      const write = (): void => {
        while (written < 400) {
          written++;
          if (!response.write(block)) {
            response.once('drain', write);
            return;
          }
        }
        response.end();
      };
      write();
    });
    const answer = (await plainAt(url).send(requestOf('a-1'), neverAborted))._unsafeUnwrap();
    const iterator = answer.body[Symbol.asyncIterator]();
    const first = await iterator.next();
    let size = first.done === true ? 0 : first.value.length;
    let before = -1;
    while (before !== written) {
      before = written;
      await systemClock.sleep(200);
    }
    expect(written).toBeLessThan(400);
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
      size += next.value.length;
    }
    expect(size).toBe(400 * block.length);
  });

  it('does not report an answer without a length as complete', async () => {
    // Guards against a truncated answer of a plain service that is forwarded as complete: the service sends no length, and its
    // end looks the same as a lost connection.
    const { url } = await serve((request) => {
      request.socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
    });
    const answer = (await plainAt(url).send(requestOf('a-1'), neverAborted))._unsafeUnwrap();
    expect((await faultErrorOf(answer)).fault.kind).toBe('stream-broken');
  });

  it('treats 404 and 503 of an engine as a refusal before it ran', async () => {
    const { url } = await serve((request, response, body) => {
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      response.statusCode = Number(/"prompt":"(\d+)"/.exec(body)?.[1]);
      response.end('{}');
    });
    const engine = engineAt(url);
    const faultFor = async (status: number) =>
      (
        await engine.send(requestOf(`a-${status}`, { model: 'm', prompt: String(status) }), neverAborted)
      )._unsafeUnwrapErr();
    expect(await faultFor(404)).toMatchObject({ kind: 'model-not-loaded', ran: 'not-run' });
    expect(await faultFor(503)).toMatchObject({ kind: 'overloaded', ran: 'not-run' });
    expect(await faultFor(500)).toMatchObject({ kind: 'engine-failed', ran: 'may-have-run' });
  });
});
