import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { systemClock } from '@jasmineroute/core';
import { afterEach, describe, expect, it } from 'vitest';
import { readWhole } from './answer.js';
import { Connections } from './connections.js';
import { exchange } from './exchange.js';

/** Time in which a connection that brings no answer is closed, milliseconds. */
const CLOSED_WITHIN_MS = 2_000;

/** Bytes that such a connection brings at most, those on their way when it is closed included. */
const MOST_BYTES = 4 * 1024 * 1024;

const MAX_BODY_BYTES = 1_000_000;

const filler = 'x'.repeat(16 * 1024);

/** What a target sends first, and what it then sends without end, with a pause in milliseconds. */
const endless: Record<string, { first: string; then: string; pauseMs?: number }> = {
  'bytes that are no head': { first: '', then: filler },
  'the reason of the status line': { first: 'HTTP/1.1 200 ', then: filler },
  'a header field': { first: 'HTTP/1.1 200 OK\r\nx-a: ', then: filler },
  'header fields': { first: 'HTTP/1.1 200 OK\r\n', then: `x-a: ${'y'.repeat(100)}\r\n`.repeat(100) },
  'informational heads': { first: '', then: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500) },
  'informational heads with pauses': { first: '', then: 'HTTP/1.1 102 Processing\r\n\r\n', pauseMs: 50 },
  'a chunk size': {
    first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    then: '0'.repeat(16_384),
  },
  'a chunk extension': {
    first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;',
    then: `a=${filler};`,
  },
  'chunk extensions': {
    first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    then: `1;${filler}\r\na\r\n`,
  },
  'a protocol that was not asked for': {
    first: 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
    then: filler,
  },
  'compressed bytes': {
    first: 'HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n',
    then: `4000\r\n${filler}\r\n`,
  },
  trailers: {
    first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n',
    then: `x-a: ${'y'.repeat(100)}\r\n`.repeat(100),
  },
};

// Guards against a connection that keeps the process busy until the deadline, as its target sends without end what is no answer.
describe('a target that sends without end', () => {
  let server: Server;
  let connections: Connections;

  afterEach(async () => {
    await connections.close();
    await new Promise((resolve) => server.close(resolve));
  });

  it.each(Object.entries(endless))('%s is cut off', async (_name, { first, then, pauseMs = 0 }) => {
    let written = 0;
    let closed = false;
    const send = async (socket: Socket): Promise<void> => {
      socket.write(first);
      while (!socket.destroyed) {
        written += then.length;
        const isFull = !socket.write(then);
        if (isFull) await new Promise((resolve) => socket.once('drain', resolve).once('close', resolve));
        await systemClock.sleep(pauseMs);
      }
    };
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('close', () => (closed = true));
      socket.once('data', () => void send(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    connections = new Connections(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
    const signal = AbortSignal.timeout(CLOSED_WITHIN_MS);
    const wire = { method: 'GET', path: '/', headers: {} };
    const answer = await exchange(connections.pool(), wire, systemClock, signal);
    const read = answer.isOk() ? await readWhole(answer.value, MAX_BODY_BYTES) : answer;
    expect(read.isErr()).toBe(true);
    expect(signal.aborted).toBe(false);
    await systemClock.sleep(100);
    expect(closed).toBe(true);
    expect(written).toBeLessThan(MOST_BYTES);
  });

  // Guards against bytes that keep arriving behind a whole answer, on a connection that is kept for the next request.
  it.each([
    ['another answer', 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother'.repeat(200)],
    ['a head', `HTTP/1.1 200 OK\r\nx-a: ${filler}`],
    ['bytes that are no head', filler],
  ])('%s behind a whole answer is cut off', async (_name, then) => {
    let written = 0;
    let isClosed = false;
    const send = async (socket: Socket): Promise<void> => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na');
      while (!socket.destroyed) {
        written += then.length;
        const isFull = !socket.write(then);
        if (isFull) await new Promise((resolve) => socket.once('drain', resolve).once('close', resolve));
        await systemClock.sleep(1);
      }
    };
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('close', () => (isClosed = true));
      socket.once('data', () => void send(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    connections = new Connections(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
    const wire = { method: 'GET', path: '/', headers: {} };
    const signal = AbortSignal.timeout(CLOSED_WITHIN_MS);
    const answer = await exchange(connections.pool(), wire, systemClock, signal);
    const body = await readWhole(answer._unsafeUnwrap(), MAX_BODY_BYTES);
    expect(body._unsafeUnwrap()).toEqual(Buffer.from('a'));
    await expect.poll(() => isClosed, { timeout: CLOSED_WITHIN_MS }).toBe(true);
    expect(written).toBeLessThan(MOST_BYTES);
  });

  it('is not taken for one whose stream has many small chunks', async () => {
    const chunks = 200_000;
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
        socket.write('1\r\na\r\n'.repeat(chunks));
        socket.write('0\r\n\r\n');
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    connections = new Connections(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
    const wire = { method: 'GET', path: '/', headers: {} };
    const answer = await exchange(connections.pool(), wire, systemClock, AbortSignal.timeout(10_000));
    const body = (await readWhole(answer._unsafeUnwrap(), MAX_BODY_BYTES))._unsafeUnwrap();
    expect(body.length).toBe(chunks);
  });
});
