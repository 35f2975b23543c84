/** A TCP proxy on loopback that breaks links on request. It runs inside the test's own process. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { ProxiedConnection } from './connection.js';
import type { Destination } from './connection.js';
import { clearCondition } from './fault.js';
import type { Direction, LinkCondition } from './fault.js';

const BOTH: readonly Direction[] = ['up', 'down'];

/** One link. */
export class FaultProxy {
  private readonly server: Server;
  private readonly connections = new Set<ProxiedConnection>();
  private readonly unanswered = new Set<Socket>();
  private readonly cutSources = new Set<string>();
  private current: LinkCondition = clearCondition;
  private destination: Destination;
  private listeningPort = 0;

  private constructor(destination: Destination) {
    this.destination = destination;
    this.server = createServer({ allowHalfOpen: true }, (client) => {
      this.accept(client);
    });
  }

  /** Opens a link to host:port on a free port, or on the given one. */
  static async open(address: string, port = 0): Promise<FaultProxy> {
    const proxy = new FaultProxy(parseAddress(address));
    await proxy.listen(port);
    return proxy;
  }

  get port(): number {
    return this.listeningPort;
  }

  /** host:port to give to whoever is to connect through the link. */
  get address(): string {
    return `127.0.0.1:${this.listeningPort}`;
  }

  /** Connections that are open through it. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Leads new connections elsewhere, as after a restart on another port. */
  redirect(address: string): void {
    this.destination = parseAddress(address);
  }

  /** Changes the condition; what is left out stays. */
  set(condition: Partial<LinkCondition>): void {
    this.current = { ...this.current, ...condition };
  }

  /** Takes all lasting conditions away. Connections that have lost bytes stay silent. */
  clear(): void {
    this.current = clearCondition;
  }

  /** Resets all open connections. */
  reset(): void {
    for (const connection of this.connections) connection.reset();
  }

  /** Makes all open connections go silent for good, both sides unaware, while new ones work. */
  blackHole(directions: readonly Direction[] = BOTH): void {
    for (const connection of this.connections) connection.lose(directions);
  }

  /** Makes open connections silent and leaves new ones without a word: a partition. */
  partition(): void {
    this.blackHole();
    this.set({ admission: 'silent' });
  }

  /** A partition from one source address only: its connections go silent, new ones find nobody. */
  cutFrom(source: string): void {
    this.cutSources.add(source);
    for (const connection of this.connections) if (connection.source === source) connection.lose(BOTH);
  }

  /** Takes the partition from a source away. Connections that have lost bytes stay silent. */
  healFrom(source: string): void {
    this.cutSources.delete(source);
  }

  /**
   * Refuses new connections, as the address does when nobody listens there. A proxy that took them and then
   * failed to pass them on would turn a refusal, after which nothing was sent, into a break.
   */
  async refuse(): Promise<void> {
    if (!this.server.listening) return;
    await new Promise<void>((resolve) => {
      // Open connections stay; the callback would only come after their end.
      this.server.close();
      setImmediate(resolve);
    });
  }

  /** Takes new connections again. */
  async admit(): Promise<void> {
    if (!this.server.listening) await this.listen(this.listeningPort);
  }

  /** Ends one direction of all open connections. */
  halfClose(direction: Direction): void {
    for (const connection of this.connections) connection.halfClose(direction);
  }

  /** Closes the link and all connections. */
  close(): Promise<void> {
    for (const connection of this.connections) connection.destroy();
    for (const socket of this.unanswered) socket.destroy();
    if (!this.server.listening) return Promise.resolve();
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  private listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        this.listeningPort = (this.server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  private accept(client: Socket): void {
    const { admission } = this.current;
    if (admission === 'silent' || this.cutSources.has(client.remoteAddress ?? '')) {
      this.unanswered.add(client);
      client.on('error', () => undefined);
      client.on('close', () => this.unanswered.delete(client));
      return;
    }
    const connection = new ProxiedConnection(
      client,
      this.destination,
      () => this.current,
      (closed) => this.connections.delete(closed),
    );
    this.connections.add(connection);
  }
}

function parseAddress(address: string): Destination {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
