/** The listener that callers reach: bounds, bad connections, planned stop. */
import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Clock, Log, StallWatch } from '@jasmineroute/core';
import { entryEvents } from '../events.js';
import type { EntrySettings } from '../setting/index.js';
import { refuseConnection, statusOfParserError } from './badConnection.js';

/** Time for which a refused connection is still read, milliseconds. */
const REFUSED_LINGER_MS = 1_000;

/** How often Node looks for requests that take too long. */
const CHECK_INTERVAL_MS = 1_000;
const MAX_HEADER_FIELDS = 200;
/** A listener is closed once no connection has come for this long. */
const ACCEPT_QUIET_MS = 300;
const DRAIN_POLL_MS = 50;

/** A connection of a stopping server is closed when it has been idle for this long. */
const DRAIN_IDLE_MS = 1_000;

/** An open connection. */
interface CallerConnection {
  /** Answers that are not finished. */
  readonly responses: Set<ServerResponse>;
  bytesRead: number;
  /** Monotonic time at which it was last seen busy. */
  activeAt: number;
}

/** The bounds of callers' connections. */
export type CallerServerSettings = Pick<
  EntrySettings,
  | 'httpHost'
  | 'httpPort'
  | 'maxHeaderBytes'
  | 'maxConnections'
  | 'headerTimeoutMs'
  | 'requestTimeoutMs'
  | 'idleTimeoutMs'
>;

/** The callers' listener. */
export class CallerServer {
  private readonly server: Server;
  /** Connections that got an error and are read out. */
  private readonly refusedSockets = new WeakSet<Socket>();
  private readonly openConnections = new Map<Socket, CallerConnection>();
  private lastConnectionAt = 0;
  private stopping = false;

  constructor(
    listener: RequestListener,
    private readonly settings: CallerServerSettings,
    private readonly clock: Clock,
    private readonly stalls: StallWatch,
    private readonly log: Log,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: settings.maxHeaderBytes,
        headersTimeout: settings.headerTimeoutMs,
        requestTimeout: Math.max(settings.requestTimeoutMs, settings.headerTimeoutMs),
        keepAliveTimeout: settings.idleTimeoutMs,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
        requireHostHeader: false,
      },
      (incoming, outgoing) => {
        this.track(incoming.socket, outgoing);
        listener(incoming, outgoing);
      },
    );
    this.server.maxConnections = settings.maxConnections;
    this.server.maxHeadersCount = MAX_HEADER_FIELDS;
    this.watchConnections();
  }

  /** Starts to listen. @returns host:port. */
  async listen(): Promise<string> {
    const { httpHost, httpPort } = this.settings;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(httpPort, httpHost, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    return `${httpHost}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Changes how long an idle connection and a head may take; open connections follow with their next request. */
  bound(idleTimeoutMs: number, headerTimeoutMs: number): void {
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headerTimeoutMs;
  }

  /** Open connections. */
  get connections(): number {
    return this.openConnections.size;
  }

  /** From now on every answer asks its caller to take a new connection, which the balancer sends elsewhere. */
  turnAway(): void {
    this.stopping = true;
  }

  /**
   * Closes the listener once no connection has come for a moment: one that still waits to be accepted would be
   * reset with it. Then waits for the busy connections, and closes each one that has been idle for a while:
   * one that has just fallen idle may have its caller's next request on the way.
   */
  async drain(maxWaitMs: number): Promise<void> {
    const until = this.clock.monotonic() + maxWaitMs;
    while (
      this.clock.monotonic() - this.lastConnectionAt < ACCEPT_QUIET_MS &&
      this.clock.monotonic() < until
    ) {
      await this.clock.sleep(DRAIN_POLL_MS);
    }
    // The HTTP server's own close cuts idle connections at once; that of the layer below only the listener.
    NetServer.prototype.close.call(this.server);
    while (this.openConnections.size > 0) {
      this.closeIdle();
      await this.clock.sleep(DRAIN_POLL_MS);
    }
  }

  private closeIdle(): void {
    const now = this.clock.monotonic();
    for (const [socket, connection] of this.openConnections) {
      if (connection.responses.size > 0 || connection.bytesRead !== socket.bytesRead) {
        connection.bytesRead = socket.bytesRead;
        connection.activeAt = now;
        continue;
      }
      if (now - connection.activeAt >= DRAIN_IDLE_MS) socket.destroySoon();
    }
  }

  /** Cuts everything. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeAllConnections();
    await closed;
  }

  private track(socket: Socket, outgoing: ServerResponse): void {
    const answers = this.openConnections.get(socket)?.responses;
    answers?.add(outgoing);
    outgoing.once('close', () => answers?.delete(outgoing));
    if (this.stopping) outgoing.setHeader('connection', 'close');
    outgoing.once('finish', () => {
      this.closeAfter(socket, outgoing);
    });
  }

  /**
   * Closes a connection whose answer began before the stop and could not say that it is the last. Its caller would
   * send the next request at once, again and again, and the last one would be cut when the time to stop is over. A
   * request that crosses the close is never read, so its caller may send it elsewhere.
   */
  private closeAfter(socket: Socket, outgoing: ServerResponse): void {
    const others = (this.openConnections.get(socket)?.responses.size ?? 0) - 1;
    if (this.stopping && others <= 0 && outgoing.getHeader('connection') !== 'close') socket.destroySoon();
  }

  private watchConnections(): void {
    this.server.on('connection', (socket: Socket) => {
      this.stalls.noteConnection();
      this.lastConnectionAt = this.clock.monotonic();
      this.openConnections.set(socket, {
        responses: new Set(),
        bytesRead: 0,
        activeAt: this.lastConnectionAt,
      });
      socket.once('close', () => this.openConnections.delete(socket));
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.handleClientError(error, socket);
    });
    this.server.on('connect', (_request: IncomingMessage, socket: Socket) => {
      refuseConnection(undefined, socket);
    });
  }

  private handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (this.refusedSockets.has(socket)) return;
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    this.log.event(entryEvents.badConnection, { code: error.code, status: statusOfParserError(error.code) });
    const answers = [...(this.openConnections.get(socket)?.responses ?? [])];
    const busy = answers.some((answer) => answer.headersSent || answer.req.complete);
    // Earlier requests of the connection are in work: an error would be read as an answer to one of them.
    if (busy) socket.destroy();
    else this.refuseAndLinger(error, socket);
  }

  /**
   * Answers, and reads on for a moment before it closes. Closing while the caller still sends resets the
   * connection, and the reset takes the error away before the caller has read it.
   */
  private refuseAndLinger(error: NodeJS.ErrnoException, socket: Socket): void {
    this.refusedSockets.add(socket);
    refuseConnection(error.code, socket);
    const cancelTimer = this.clock.after(REFUSED_LINGER_MS, () => {
      socket.destroy();
    });
    socket.once('close', cancelTimer);
  }
}
