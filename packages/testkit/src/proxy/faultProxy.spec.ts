import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitFor } from '../wait/index.js';
import { FaultProxy } from './faultProxy.js';

/** Echoes, and keeps its sockets so that a test sees their ends. */
class EchoServer {
  readonly sockets: Socket[] = [];
  private constructor(private readonly server: Server) {}

  static async open(): Promise<EchoServer> {
    const server = createServer({ allowHalfOpen: true });
    const echo = new EchoServer(server);
    server.on('connection', (socket: Socket) => {
      echo.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => socket.write(bytes));
      socket.on('end', () => socket.end());
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return echo;
  }

  get first(): Socket {
    const socket = this.sockets[0];
    if (socket === undefined) throw new Error('nobody has connected');
    return socket;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** A client that collects what it gets. */
class Client {
  text = '';
  ended = false;
  error = '';
  readonly socket: Socket;

  constructor(port: number) {
    this.socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    this.socket.on('data', (bytes: Buffer) => (this.text += bytes.toString()));
    this.socket.on('end', () => (this.ended = true));
    this.socket.on('error', (error: NodeJS.ErrnoException) => (this.error = error.code ?? 'unknown'));
  }

  async says(text: string): Promise<void> {
    await waitFor(`"${text}"`, () => this.text === text, { timeoutMs: 3_000, everyMs: 5 });
  }
}

describe('FaultProxy', () => {
  let echo: EchoServer;
  let proxy: FaultProxy;
  const clients: Client[] = [];

  const open = (): Client => {
    const client = new Client(proxy.port);
    clients.push(client);
    return client;
  };

  beforeEach(async () => {
    echo = await EchoServer.open();
    proxy = await FaultProxy.open(echo.address);
  });

  afterEach(async () => {
    for (const client of clients.splice(0)) client.socket.destroy();
    await proxy.close();
    echo.close();
  });

  it('passes bytes both ways and a proper end', async () => {
    const client = open();
    client.socket.end('hello');
    await client.says('hello');
    await waitFor('the end', () => client.ended);
    expect(client.error).toBe('');
  });

  it('delays each direction', async () => {
    proxy.set({ latencyMs: 60 });
    const client = open();
    const begin = performance.now();
    client.socket.write('late');
    await client.says('late');
    expect(performance.now() - begin).toBeGreaterThanOrEqual(115);
  });

  it('paces bytes', async () => {
    proxy.set({ bytesPerSecond: 100_000 });
    const client = open();
    const begin = performance.now();
    client.socket.write('x'.repeat(20_000));
    await client.says('x'.repeat(20_000));
    expect(performance.now() - begin).toBeGreaterThanOrEqual(195);
  });

  it('resets open connections', async () => {
    const client = open();
    client.socket.write('a');
    await client.says('a');
    proxy.reset();
    await waitFor('the reset', () => client.error !== '');
    expect(client.error).toBe('ECONNRESET');
  });

  it('makes open connections silent for good while new ones work', async () => {
    // Symptom: a connection is open at both ends, and nothing that is sent on it arrives.
    // Sequence: bytes pass, the middle loses track, both ends send, a new connection is opened.
    // Cause: a middlebox forgets a flow and drops its packets without a word.
    const old = open();
    old.socket.write('a');
    await old.says('a');
    proxy.blackHole();
    old.socket.write('b');
    const fresh = open();
    fresh.socket.write('c');
    await fresh.says('c');
    proxy.clear();
    old.socket.write('d');
    fresh.socket.write('e');
    await fresh.says('ce');
    expect(old.text).toBe('a');
    expect([old.ended, old.error, echo.sockets[0]?.readableEnded]).toEqual([false, '', false]);
  });

  it('cuts one direction only', async () => {
    const client = open();
    client.socket.write('a');
    await client.says('a');
    proxy.blackHole(['down']);
    const arrived = once(echo.first, 'data');
    client.socket.write('b');
    const [bytes] = (await arrived) as [Buffer];
    expect(bytes.toString()).toBe('b');
    expect(client.text).toBe('a');
  });

  it('ends one direction and leaves the other open', async () => {
    const client = open();
    client.socket.write('a');
    await client.says('a');
    proxy.halfClose('down');
    await waitFor('the end', () => client.ended);
    const arrived = once(echo.first, 'data');
    client.socket.write('b');
    expect(((await arrived) as [Buffer])[0].toString()).toBe('b');
  });

  it('refuses new connections, keeps open ones, and takes new ones again', async () => {
    const old = open();
    old.socket.write('a');
    await old.says('a');
    await proxy.refuse();
    const client = open();
    await waitFor('the refusal', () => client.error !== '');
    expect(client.error).toBe('ECONNREFUSED');
    old.socket.write('b');
    await old.says('ab');
    await proxy.admit();
    const fresh = open();
    fresh.socket.write('c');
    await fresh.says('c');
  });

  it('parts both sides and heals for new connections', async () => {
    const old = open();
    old.socket.write('a');
    await old.says('a');
    proxy.partition();
    const parted = open();
    await once(parted.socket, 'connect');
    parted.socket.write('b');
    proxy.clear();
    const fresh = open();
    fresh.socket.write('c');
    await fresh.says('c');
    expect([old.text, parted.text]).toEqual(['a', '']);
  });
});
