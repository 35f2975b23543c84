import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createClient } from '@connectrpc/connect';
import { describe, expect, it } from 'vitest';
import { Turns } from '../gen/jasmineroute/control_pb.js';
import { Peers } from './peers.js';

const ROUNDS = 200;

describe('Peers', () => {
  it('survives connections that fail after they were dropped', async () => {
    // Guards against a process that ends with "connect ECONNRESET" at TCPConnectWrap.afterConnect: a connection is dropped
    // while its host resets it, and the session has removed its listeners before the socket emits the error.
    const errors: unknown[] = [];
    const recordError = (error: unknown): void => {
      errors.push(error);
    };
    process.on('uncaughtException', recordError);
    const server = createServer((socket) => socket.resetAndDestroy());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const peers = new Peers();
    for (let round = 0; round < ROUNDS; round += 1) {
      const call = createClient(Turns, peers.transport(address)).take({}, { timeoutMs: 1_000 });
      if (round % 2 === 0) await new Promise((resolve) => setImmediate(resolve));
      peers.drop(address);
      await expect(call).rejects.toThrow();
    }
    peers.close();
    server.close();
    process.off('uncaughtException', recordError);
    expect(errors).toEqual([]);
  });
});
