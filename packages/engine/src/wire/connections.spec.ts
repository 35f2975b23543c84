import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { Client, buildConnector } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { tellResets } from './connections.js';

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

  /** Reads an answer without a length; `isReset`: the system knows no other end any more when it ends. */
  async function read(isReset: boolean): Promise<string> {
    const open = buildConnector({});
    const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
      connect: (options, callback) => {
        open(options, (...opened) => {
          const [, socket] = opened;
          if (socket !== null && isReset)
            Object.defineProperty(socket, 'remoteAddress', { value: undefined });
          if (socket !== null) tellResets(socket);
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

  it('breaks an answer without a length off, also when its error was taken before', async () => {
    // Symptom: a caller gets half an answer that looks whole.
    // Sequence: a target crashes inside an answer without a length; its reset reads as an end.
    // Cause: only the error told a reset from an end, and it is told once.
    expect(await read(false)).toBe('half');
    await expect(read(true)).rejects.toThrow('reset');
  });
});
