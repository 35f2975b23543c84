import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { Client, buildConnector } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { systemClock } from '@jasmineroute/core';
import { Connections, failOnReset } from './connections.js';
import { exchange } from './exchange.js';

describe('a connection that was reset', () => {
  const server = createServer((socket) => {
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
      setTimeout(() => socket.end(), 20);
    });
  });

  beforeEach(async () => {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(async () => {
    await new Promise((resolve) => server.close(resolve));
  });

  /** Reads an answer without a length; `isReset`: the socket has no remote address any more when it ends. */
  async function read(isReset: boolean): Promise<string> {
    const open = buildConnector({});
    const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
      connect: (options, callback) => {
        open(options, (...opened) => {
          const [, socket] = opened;
          if (socket !== null && isReset)
            Object.defineProperty(socket, 'remoteAddress', { value: undefined });
          if (socket !== null) failOnReset(socket);
          callback(...opened);
        });
      },
    });
    try {
      const { body } = await client.request({ method: 'GET', path: '/' });
      return await body.text();
    } finally {
      await client.destroy();
    }
  }

  it('breaks an answer without a length, also when another listener has consumed its error', async () => {
    // Guards against half an answer that looks complete: a target crashes inside an answer without a length, and its reset
    // appears as an end, as the error that distinguishes the two is emitted only once.
    expect(await read(false)).toBe('half');
    await expect(read(true)).rejects.toThrow('reset');
  });
});

describe('connections to an origin that can not be called', () => {
  // Guards against a process that ends, or answers every request with an error of its own, as one address is no address.
  it.each(['http://127.0.0.1:87810', 'http://', 'http://999.1.1.1:80', 'http://a b:80'])(
    'fail each request as not run: %s',
    async (origin) => {
      const connections = new Connections(origin, 2);
      for (const fresh of [false, true]) {
        const request = { method: 'GET', path: '/', headers: {} };
        const { signal } = new AbortController();
        const answer = await exchange(connections.pool(fresh), request, systemClock, signal);
        const expected = { kind: 'target-unreachable', ran: 'not-run' };
        expect(answer._unsafeUnwrapErr()).toMatchObject(expected);
      }
      await connections.close();
    },
  );
});
