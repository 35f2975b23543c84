import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { silentLog, systemClock } from '@jasmineroute/core';
import type { Dispatcher } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';
import { createHttpEngine } from '../http/index.js';
import { createPlainTarget } from '../plain/index.js';
import type { Engine, EngineAnswer, EngineRequest } from '../port/index.js';
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

const never = new AbortController().signal;

async function textOf(answer: EngineAnswer): Promise<string> {
  const parts: Uint8Array[] = [];
  for await (const part of answer.body) parts.push(part);
  return Buffer.concat(parts).toString();
}

async function breakOf(answer: EngineAnswer): Promise<FaultError> {
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
  it('passes whole events on, counts them and reads the usage', async () => {
    const { url } = await serve((request, response) => {
      startStream(request, response);
      response.write(': ping\n\nid: 0\ndata: {"a":1}\n\nid: 1\nda');
      response.write('ta: {"usage":{"prompt_tokens":9,"completion_tokens":2,');
      response.write('"prompt_tokens_details":{"cached_tokens":4}}}\n\n: ping\n\ndata: [DONE]\n\n');
      response.end();
    });
    const answer = (await engineAt(url).send(requestOf('a-1'), never))._unsafeUnwrap();
    const text = await textOf(answer);
    expect(text).not.toContain('ping');
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
    expect(answer.events?.()).toBe(3);
    expect(answer.usage?.()).toEqual({ promptTokens: 9, cachedTokens: 4, outputTokens: 2 });
    expect(answer.incarnation).toBe('one');
  });

  it('adds priority and cache salt behind the fields of the caller', async () => {
    const bodies: string[] = [];
    const { url } = await serve((request, response, body) => {
      bodies.push(body);
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      response.setHeader('content-type', 'application/json');
      response.end('{"ok":true}');
    });
    const engine = engineAt(url);
    const own = { model: 'm', prompt: 'p', cache_salt: 'customer-b', priority: -99 };
    await textOf((await engine.send(requestOf('a-1', { model: 'm', prompt: 'p' }), never))._unsafeUnwrap());
    await textOf((await engine.send(requestOf('a-2', own), never))._unsafeUnwrap());
    const expected = { model: 'm', prompt: 'p', priority: -7, cache_salt: 'customer-a' };
    expect(bodies.map((body): unknown => JSON.parse(body))).toEqual([expected, expected]);
    // Which of two fields of one name counts is up to the parser.
    expect(bodies.map((body) => body.match(/cache_salt|priority/g)?.length)).toEqual([2, 2]);
  });

  it('does not take a clean end for a whole stream', async () => {
    // Symptom: a caller got half an answer that looked complete.
    // Sequence: the engine stops between two events and closes its connection in good order.
    // Cause: the connection's end was taken for the stream's; only [DONE] is.
    const { url } = await serve((request, response) => {
      startStream(request, response);
      response.end('id: 0\ndata: {"a":1}\n\n');
    });
    const answer = (await engineAt(url).send(requestOf('a-1'), never))._unsafeUnwrap();
    const { fault } = await breakOf(answer);
    expect(fault.kind).toBe('stream-broken');
    expect(fault.ran).toBe('may-have-run');
    expect(answer.events?.()).toBe(1);
  });

  it('gives a silent stream up and never uses its connection again', async () => {
    // Symptom: a caller waits for good; later, another caller gets the first one's text.
    // Sequence: the connection carries no byte any more; the exchange is given up; a new request goes out.
    // Cause: something between the ends lost track of the connection, and it went back to the pool.
    let calls = 0;
    const ports: (number | undefined)[] = [];
    const { url } = await serve((request, response) => {
      calls++;
      ports.push(request.socket.remotePort);
      startStream(request, response);
      if (calls > 1) response.end('data: [DONE]\n\n');
    });
    const engine = engineAt(url, 500);
    const first = (await engine.send(requestOf('a-1'), never))._unsafeUnwrap();
    expect((await breakOf(first)).fault.message).toContain('no byte for 500 ms');
    const second = (await engine.send(requestOf('a-2'), never))._unsafeUnwrap();
    expect(await textOf(second)).toBe('data: [DONE]\n\n');
    expect(new Set(ports).size).toBe(2);
  });

  it('takes heartbeat comments for signs of life', async () => {
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
    const answer = (await engineAt(url, 1_000).send(requestOf('a-1'), never))._unsafeUnwrap();
    expect(await textOf(answer)).toBe('data: [DONE]\n\n');
  });

  it('notices that a JSON answer is finished and does not come', async () => {
    // Symptom: a caller waits until its deadline for an answer that the engine has long had ready.
    // Sequence: the connection of a JSON answer carries nothing any more, and nobody closes it.
    // Cause: silence is what such a connection has while the engine works, too.
    let asked = '';
    const { url } = await serve((request, response) => {
      if (request.method !== 'GET') return;
      asked = request.url ?? '';
      startStream(request, response);
      setTimeout(() => response.end('data: [DONE]\n\n'), 50);
    });
    const answer = await engineAt(url, 100).send(requestOf('a-1', { model: 'm', prompt: 'p' }), never);
    expect(answer._unsafeUnwrapErr()).toMatchObject({ kind: 'stream-broken', ran: 'may-have-run' });
    expect(asked).toMatch(/^\/v1\/streams\/a-1\?from=/);
  });

  it('waits for a slow JSON answer, also of an engine that does not know of its stream', async () => {
    const { url } = await serve((request, response) => {
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      response.setHeader('content-type', 'application/json');
      if (request.method === 'GET') response.writeHead(404).end('{}');
      else setTimeout(() => response.end('{"ok":true}'), 500);
    });
    const answer = await engineAt(url, 100).send(requestOf('a-1', { model: 'm', prompt: 'p' }), never);
    expect(await textOf(answer._unsafeUnwrap())).toBe('{"ok":true}');
  });

  it('refuses an answer with the id of another request', async () => {
    // Symptom: a caller got the answer to somebody else's request.
    // Sequence: an engine or something before it answers out of step on a kept connection.
    // Cause: nothing compared the id in the answer with that of the request.
    const { url } = await serve((_request, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': 'a-0' });
      response.end('data: [DONE]\n\n');
    });
    const answer = await engineAt(url).send(requestOf('a-1'), never);
    expect(answer._unsafeUnwrapErr().kind).toBe('answer-mismatch');
  });

  it('says not run only when no byte left', async () => {
    // Symptom: a request that had run was reported as not run, and ran again.
    // Sequence: once the port is closed; once the connection is reset after the request was read.
    // Cause: both were answered alike; only the first is proved.
    let seen = 0;
    const { url, server } = await serve((request) => {
      seen++;
      request.socket.resetAndDestroy();
    });
    const plain = plainAt(url);
    const reset = (await plain.send(requestOf('a-1'), never))._unsafeUnwrapErr();
    expect(reset.ran).toBe('may-have-run');
    expect(seen).toBe(1);
    await new Promise((resolve) => server.close(resolve));
    const refused = (await plain.send(requestOf('a-2'), never))._unsafeUnwrapErr();
    expect(refused.kind).toBe('target-unreachable');
    expect(refused.ran).toBe('not-run');
    expect(seen).toBe(1);
  });

  it('stops a second sending by the library below', async () => {
    // Symptom: one request had two executions, and nothing above had tried twice.
    // Sequence: the HTTP library takes up a request again whose connection broke.
    // Cause: its own idea of what may be repeated.
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
    const answer = await exchange(pool, wire, systemClock, never);
    expect(aborted).toEqual(['second']);
    expect(answer._unsafeUnwrapErr().ran).toBe('may-have-run');
  });

  it('sends what must not run twice on a connection that was never used', async () => {
    // Symptom: a call that may not be repeated ends in "may have run" on an idle system.
    // Sequence: the service closes a kept connection at the moment at which the call is written to it.
    // Cause: whether a closing connection still read the call cannot be known; a fresh one is not closing.
    const ports: (number | undefined)[] = [];
    const { url } = await serve((request, response) => {
      ports.push(request.socket.remotePort);
      response.end('ok');
    });
    const plain = plainAt(url);
    for (const attemptId of ['a-1', 'a-2', 'a-3']) {
      const answer = await plain.send({ ...requestOf(attemptId), idempotent: false }, never);
      expect(await textOf(answer._unsafeUnwrap())).toBe('ok');
    }
    expect(new Set(ports).size).toBe(3);
  });

  it('pauses the target when the reader is slow', async () => {
    // Symptom: the process beside the target grows until it is killed.
    // Sequence: a reader stops reading while the target goes on writing megabytes.
    // Cause: chunks were queued without a bound.
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
    const answer = (await plainAt(url).send(requestOf('a-1'), never))._unsafeUnwrap();
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

  it('does not vouch for an answer without a length', async () => {
    // Symptom: a cut answer of a plain service was passed on as a whole one.
    // Sequence: the service sends no length and its connection is closed, by itself or by somebody else.
    // Cause: without a length the end cannot be told from a cut.
    const { url } = await serve((request) => {
      request.socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
    });
    const answer = (await plainAt(url).send(requestOf('a-1'), never))._unsafeUnwrap();
    expect((await breakOf(answer)).fault.kind).toBe('stream-broken');
  });

  it('reads 404 and 503 of an engine as a refusal before it ran', async () => {
    const { url } = await serve((request, response, body) => {
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      response.statusCode = Number(/"prompt":"(\d+)"/.exec(body)?.[1]);
      response.end('{}');
    });
    const engine = engineAt(url);
    const faultFor = async (status: number) =>
      (
        await engine.send(requestOf(`a-${status}`, { model: 'm', prompt: String(status) }), never)
      )._unsafeUnwrapErr();
    expect(await faultFor(404)).toMatchObject({ kind: 'model-not-loaded', ran: 'not-run' });
    expect(await faultFor(503)).toMatchObject({ kind: 'overloaded', ran: 'not-run' });
    expect(await faultFor(500)).toMatchObject({ kind: 'engine-failed', ran: 'may-have-run' });
  });
});
