/** Connections to other processes of the system. */
import net from 'node:net';
import type { Socket } from 'node:net';
import tls from 'node:tls';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Transport } from '@connectrpc/connect';
import { tellLength } from './messageLength.js';
import { SessionManager } from './sessionManager.js';
import type { TlsStore } from './tls.js';

/** Largest message that is read. */
export const MAX_MESSAGE_BYTES = 72 * 1024 * 1024;

/** An idle connection is checked before use, so that a request is not lost on one that went silent. */
const IDLE_PING_MS = 1_000;
const PING_TIMEOUT_MS = 1_000;

/**
 * What a connection is for. Each lane has a connection of its own to an address: one that is dropped, or filled by a long
 * message, holds up no other.
 */
export type Lane = 'calls' | 'agreement';

interface Peer {
  readonly transport: Transport;
  readonly session: SessionManager;
}

/** One HTTP/2 connection for each address and lane, made when first used. */
export class Peers {
  private readonly lanes: Readonly<Record<Lane, Map<string, Peer>>> = {
    calls: new Map(),
    agreement: new Map(),
  };

  /**
   * @param tls key material; absent: plain text, for loopback.
   * @param sourceAddress own IP address that connections leave from; absent: the system's choice.
   */
  constructor(
    private readonly tls?: TlsStore,
    private readonly sourceAddress?: string,
  ) {
    tls?.onReload(() => {
      this.forget();
    });
  }

  /** The transport to host:port. Ask anew for each call: `drop` replaces it. */
  transport(address: string, lane: Lane = 'calls'): Transport {
    const known = this.lanes[lane].get(address);
    if (known !== undefined) return known.transport;
    const peer = this.connect(address);
    this.lanes[lane].set(address, peer);
    return peer.transport;
  }

  /**
   * Cuts the connection to an address; the next call gets a new one. For connections that went silent:
   * something between the ends can lose track of one while new ones work, and then nothing ever closes it.
   */
  drop(address: string, lane: Lane = 'calls'): void {
    const peer = this.lanes[lane].get(address);
    if (peer === undefined) return;
    this.lanes[lane].delete(address);
    peer.session.abort();
  }

  /** Cuts all connections. */
  close(): void {
    for (const [lane, peers] of Object.entries(this.lanes)) {
      for (const address of [...peers.keys()]) this.drop(address, lane as Lane);
    }
  }

  /** New calls take new connections; running ones finish on the old. */
  private forget(): void {
    for (const peers of Object.values(this.lanes)) peers.clear();
  }

  private connect(address: string): Peer {
    const material = this.tls?.current();
    const baseUrl = `${material === undefined ? 'http' : 'https'}://${address}`;
    const session = new SessionManager(
      baseUrl,
      {
        pingIntervalMs: IDLE_PING_MS,
        pingTimeoutMs: PING_TIMEOUT_MS,
        pingIdleConnection: false,
        idleConnectionTimeoutMs: 60_000,
      },
      { createConnection: (to) => this.open(to) },
    );
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      readMaxBytes: MAX_MESSAGE_BYTES,
      interceptors: [tellLength],
    });
    return { transport, session };
  }

  /**
   * The listener for errors stays for the socket's life. A connection that is dropped while it is still being made
   * can fail afterwards, when the session has taken its own listeners off: Node would end the process then.
   */
  private open(to: URL): Socket {
    const socket = this.connectSocket(to);
    socket.on('error', () => undefined);
    return socket;
  }

  private connectSocket(to: URL): Socket {
    const place = { host: to.hostname, port: Number(to.port), localAddress: this.sourceAddress };
    const material = this.tls?.current();
    if (material === undefined) return net.connect(place);
    // Names are not addresses here: the authority that signed the certificate is what counts.
    return tls.connect({
      ...place,
      ...material,
      ALPNProtocols: ['h2'],
      checkServerIdentity: () => undefined,
    });
  }
}
