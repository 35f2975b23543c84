/** Connections to processes that are too busy to accept them at once. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createClient } from '@connectrpc/connect';
import { afterEach, describe, expect, it } from 'vitest';
import { Turns } from '../gen/jasmineroute/control_pb.js';
import { Peers } from './peers.js';
import { listen } from './server.js';
import type { RpcServer } from './server.js';

/** Timeout of a call, after which its caller drops the connection, milliseconds. */
const CALL_TIMEOUT_MS = 500;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Connections to it are open at once and reach `target` only after a time, as those in the queue of a busy process do. */
class BusyListener {
  readonly sockets: Socket[] = [];
  private readonly server: Server;

  constructor(waitMs: number, target: string) {
    const port = Number(target.split(':').at(-1));
    this.server = createServer({ pauseOnConnect: true }, (socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      void pause(waitMs).then(() => {
        this.accept(socket, port);
      });
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(socket: Socket, port: number): void {
    if (socket.destroyed) return;
    const forwarded = connect(port, '127.0.0.1');
    forwarded.on('error', () => undefined);
    socket.pipe(forwarded).pipe(socket);
    this.sockets.push(forwarded);
  }
}

describe('a connection to a process that is too busy to accept it', () => {
  const peers = new Peers();
  let server: RpcServer;
  let busy: BusyListener;

  afterEach(async () => {
    peers.close();
    busy.close();
    await server.close();
  });

  async function start(waitMs: number): Promise<string> {
    server = await listen('127.0.0.1', 0, (router) => {
      router.service(Turns, {});
    });
    busy = new BusyListener(waitMs, server.address);
    return busy.start();
  }

  /** Whether the server answers; each call that times out drops the connection. */
  async function isAnswered(address: string, withinMs: number): Promise<boolean> {
    const end = performance.now() + withinMs;
    while (performance.now() < end) {
      const call = createClient(Turns, peers.transport(address)).take({}, { timeoutMs: CALL_TIMEOUT_MS });
      const problem = await call.then(
        () => '',
        (error: unknown) => String(error),
      );
      if (problem.includes('invalid_argument')) return true;
      peers.drop(address);
    }
    return false;
  }

  // Guards against an instance that is never reached, as each connection is given up in the queue of its listener.
  it('is kept until it is accepted', async () => {
    const address = await start(2_500);
    expect(await isAnswered(address, 10_000)).toBe(true);
  });

  // Guards against calls that wait for a connection which a device between the hosts has forgotten.
  it('is given up after some seconds', async () => {
    const address = await start(60_000);
    expect(await isAnswered(address, 9_000)).toBe(false);
    expect(busy.sockets.length).toBeGreaterThanOrEqual(3);
  });

  // Guards against a connection that is kept although its process has accepted it and no longer answers.
  it('is dropped at once when it has answered before', async () => {
    const address = await start(0);
    expect(await isAnswered(address, 5_000)).toBe(true);
    expect(peers.drop(address)).toBe(true);
  });
});
