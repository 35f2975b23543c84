/** What the parser of a server gets, and what a caller gets back, through a paced connection. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../testing/testEntry.js';
import { PacedSocket } from './pacedSocket.js';
import { ReadBuffers } from './readBuffers.js';

const PIECE_BYTES = 1_024;

describe('PacedSocket', () => {
  let server: Server;
  let caller: Socket;
  let socket: PacedSocket;

  beforeEach(async () => {
    server = createServer({ allowHalfOpen: true });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    caller = connect({
      port: (server.address() as AddressInfo).port,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    caller.on('error', () => undefined);
    const [accepted] = (await once(server, 'connection')) as [Socket];
    socket = new PacedSocket(accepted, new ReadBuffers(Infinity));
    socket.on('error', () => undefined);
  });

  afterEach(() => {
    caller.destroy();
    socket.destroy();
    server.close();
  });

  // Guards against thousands of requests of one read that are made before any of them is looked at.
  it('hands on small pieces, and none while no more may be read', async () => {
    let isOpen = true;
    socket.setPace({ mayRead: () => isOpen, bodyBytesLeft: () => 0 });
    const pieces: Buffer[] = [];
    socket.on('data', (piece: Buffer) => {
      pieces.push(piece);
      isOpen = pieces.length < 3;
    });
    const sent = Buffer.from(Array.from({ length: 50_000 }, (_, at) => at % 251));
    caller.write(sent);
    await waitUntil(() => pieces.length === 3);
    expect(pieces.every(({ length }) => length <= PIECE_BYTES)).toBe(true);
    isOpen = true;
    socket.pause();
    socket.resume();
    for (let at = 0; Buffer.concat(pieces).length < sent.length && at < 1_000; at += 1) {
      isOpen = true;
      socket.feed();
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(Buffer.concat(pieces).equals(sent)).toBe(true);
  });

  it('hands on the rest of a body as it comes', async () => {
    socket.setPace({ mayRead: () => true, bodyBytesLeft: () => 40_000 });
    const lengths: number[] = [];
    socket.on('data', (piece: Buffer) => lengths.push(piece.length));
    caller.write(Buffer.alloc(40_000));
    await waitUntil(() => lengths.reduce((sum, length) => sum + length, 0) === 40_000);
    expect(Math.max(...lengths)).toBeGreaterThan(PIECE_BYTES);
  });

  it('passes on both ends of a connection, and what was written before', async () => {
    const received: Buffer[] = [];
    caller.on('data', (bytes: Buffer) => received.push(bytes));
    let hasEnded = false;
    socket.resume().on('end', () => (hasEnded = true));
    caller.end('question');
    await waitUntil(() => hasEnded);
    socket.cork();
    socket.write('ans');
    socket.write('wer');
    socket.uncork();
    socket.end();
    await once(caller, 'end');
    expect(Buffer.concat(received).toString()).toBe('answer');
    await waitUntil(() => socket.destroyed);
    expect(socket.hadError).toBe(false);
  });

  it('tells of a reset', async () => {
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.resume();
    caller.resetAndDestroy();
    await closed;
    expect(socket.hadError).toBe(true);
  });
});
