import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createClient } from '@connectrpc/connect';
import { describe, expect, it } from 'vitest';
import { Turns } from '../gen/jasmineroute/control_pb.js';
import { Peers } from './peers.js';

const ROUNDS = 200;

describe('Peers', () => {
  it('outlives connections that fail after they were dropped', async () => {
    // Symptom: a process ends with "connect ECONNRESET" at TCPConnectWrap.afterConnect.
    // Sequence: a connection is being made to a host that resets it; it is dropped in that moment.
    // Cause: the session has taken its listeners off when the socket's error comes.
    const errors: unknown[] = [];
    const note = (error: unknown): void => {
      errors.push(error);
    };
    process.on('uncaughtException', note);
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
    process.off('uncaughtException', note);
    expect(errors).toEqual([]);
  });
});
