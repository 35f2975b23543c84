/** Connections to other processes of the system. */
import net from 'node:net';
import type { Socket } from 'node:net';
import tls from 'node:tls';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Transport } from '@connectrpc/connect';
import { sendLength } from './messageLength.js';
import { SessionManager } from './sessionManager.js';
import type { TlsStore } from './tls.js';

/** Largest message that is accepted. */
export const MAX_MESSAGE_BYTES = 72 * 1024 * 1024;

/** An idle connection is pinged before use, so that no request is sent on one that has become unresponsive. */
const IDLE_PING_MS = 1_000;

/** A busy process answers late: it must not lose all streams of a connection for that. */
const PING_TIMEOUT_MS = 2_000;

/**
 * Purpose of a connection. Each lane has its own connection to an address: when one is dropped, or busy with a long message,
 * the others are not affected.
 */
export type Lane = 'calls' | 'agreement';

interface Peer {
  readonly transport: Transport;
  readonly session: SessionManager;
  /** Bytes received over the connection. */
  readonly received: () => number;
}

/** Connections to peers: one HTTP/2 connection per address and lane, opened on first use. */
export class Peers {
  private readonly lanes: Readonly<Record<Lane, Map<string, Peer>>> = {
    calls: new Map(),
    agreement: new Map(),
  };

  /**
   * @param tls key material; absent: plain text, for loopback.
   * @param sourceAddress local IP address of the connections; absent: chosen by the system.
   */
  constructor(
    private readonly tls?: TlsStore,
    private readonly sourceAddress?: string,
  ) {
    tls?.onReload(() => {
      this.replaceConnections();
    });
  }

  /** The transport to host:port. Call this for each request: `drop` replaces the transport. */
  transport(address: string, lane: Lane = 'calls'): Transport {
    const known = this.lanes[lane].get(address);
    if (known !== undefined) return known.transport;
    const peer = this.connect(address);
    this.lanes[lane].set(address, peer);
    return peer.transport;
  }

  /**
   * Bytes received so far over the connection to an address. A peer that sends anything is there, though it may be slow: while this
   * grows, a missing answer is no reason to close the connection.
   */
  received(address: string, lane: Lane = 'calls'): number {
    return this.lanes[lane].get(address)?.received() ?? 0;
  }

  /**
   * Closes the connection to an address; the next call opens a new one. For unresponsive connections: a device between
   * the peers may lose its state of a connection, which is then never closed, while new ones work.
   */
  drop(address: string, lane: Lane = 'calls'): void {
    const peer = this.lanes[lane].get(address);
    if (peer === undefined) return;
    this.lanes[lane].delete(address);
    peer.session.abort();
  }

  /** Closes all connections. */
  close(): void {
    for (const [lane, peers] of Object.entries(this.lanes)) {
      for (const address of [...peers.keys()]) this.drop(address, lane as Lane);
    }
  }

  /** New calls open new connections; calls in progress finish on the old ones. */
  private replaceConnections(): void {
    for (const peers of Object.values(this.lanes)) peers.clear();
  }

  private connect(address: string): Peer {
    const material = this.tls?.current();
    const baseUrl = `${material === undefined ? 'http' : 'https'}://${address}`;
    const sockets: Socket[] = [];
    const session = new SessionManager(
      baseUrl,
      {
        pingIntervalMs: IDLE_PING_MS,
        pingTimeoutMs: PING_TIMEOUT_MS,
        pingIdleConnection: false,
        idleConnectionTimeoutMs: 60_000,
      },
      {
        createConnection: (to) => {
          const socket = this.createSocket(to);
          sockets.splice(0, sockets.length, socket);
          return socket;
        },
      },
    );
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      readMaxBytes: MAX_MESSAGE_BYTES,
      interceptors: [sendLength],
    });
    return { transport, session, received: () => sockets[0]?.bytesRead ?? 0 };
  }

  /**
   * The error listener stays for the lifetime of the socket. A connection that is dropped while it is being established
   * can fail afterwards, when the session has removed its own listeners; Node would then end the process.
   */
  private createSocket(to: URL): Socket {
    const socket = this.connectSocket(to);
    socket.on('error', () => undefined);
    return socket;
  }

  private connectSocket(to: URL): Socket {
    const endpoint = { host: to.hostname, port: Number(to.port), localAddress: this.sourceAddress };
    const material = this.tls?.current();
    if (material === undefined) return net.connect(endpoint);
    // Certificates are not issued for addresses, so only the authority that signed them is checked.
    return tls.connect({
      ...endpoint,
      ...material,
      ALPNProtocols: ['h2'],
      checkServerIdentity: () => undefined,
    });
  }
}
