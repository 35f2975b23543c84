/** The HTTP server for callers: limits, invalid requests, and planned stop. */
import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import { entryEvents } from '../events.js';
import type { EntrySettings } from '../setting/index.js';
import { refuseConnection, statusOfParserError } from './badConnection.js';
import { ConnectionEnds } from './connectionEnds.js';
import type { EndCause } from './connectionEnds.js';

/** Time for which a refused connection is still read before it is closed, milliseconds. */
const REFUSED_LINGER_MS = 1_000;

/** How often Node checks for requests that exceed their timeouts, milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
const MAX_HEADER_FIELDS = 200;
/** A draining server closes its listener after this long without a new connection, milliseconds. */
const ACCEPT_QUIET_MS = 300;
const DRAIN_POLL_MS = 50;

/** A draining server closes connections that have been idle for this long, milliseconds. */
const DRAIN_IDLE_MS = 1_000;

/** State of an open connection. */
interface CallerConnection {
  /** Unfinished answers. */
  readonly responses: Set<ServerResponse>;
  bytesRead: number;
  /** Monotonic time at which activity was last observed. */
  activeAt: number;
  /** How this side began to end it; undefined: it has not. */
  ending?: Ending;
}

/** The beginning of a connection's end. */
interface Ending {
  readonly cause: EndCause;
  /** Monotonic time. */
  readonly at: number;
  readonly unsentBytes: number;
  readonly bytesRead: number;
}

/** Open connections by state. */
export interface ConnectionStates {
  /** An answer is not complete. */
  readonly answering: number;
  readonly idle: number;
  /** This side has begun to end them. */
  readonly ending: number;
}

/** Settings of the server. */
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

/** The HTTP server that callers connect to. */
export class CallerServer {
  private readonly server: Server;
  /** Connections that got an error and are read until they close. */
  private readonly refusedSockets = new WeakSet<Socket>();
  private readonly openConnections = new Map<Socket, CallerConnection>();
  private lastConnectionAt = 0;
  private stopping = false;
  private closed = false;
  private readonly ends: ConnectionEnds;
  /** Monotonic time at which the last answer was complete. */
  private answeredAt: number | undefined;

  constructor(
    listener: RequestListener,
    private readonly settings: CallerServerSettings,
    private readonly clock: Clock,
    private readonly stalls: StallWatch,
    private readonly log: Log,
    metrics: Metrics,
  ) {
    this.ends = new ConnectionEnds(log, metrics);
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

  /** Starts listening. @returns host:port. */
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

  /**
   * Changes the timeouts of idle connections and request heads. Open connections use them from their next request on.
   */
  setTimeouts(idleTimeoutMs: number, headerTimeoutMs: number): void {
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headerTimeoutMs;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.openConnections.size;
  }

  /** Open connections by state. */
  get states(): ConnectionStates {
    const open = [...this.openConnections.values()];
    const ending = open.filter((one) => one.ending !== undefined).length;
    const answering = open.filter((one) => one.ending === undefined && one.responses.size > 0).length;
    return { answering, idle: open.length - ending - answering, ending };
  }

  /** What tells how a planned stop went: connections by state, ends by cause, and the age of the last complete answer. */
  stopRecord(): Readonly<Record<string, unknown>> {
    const { answeredAt } = this;
    const lastAnswerMs =
      answeredAt === undefined ? undefined : Math.round(this.clock.monotonic() - answeredAt);
    return { connections: this.states, ended: this.ends.totals, lastAnswerMs };
  }

  /**
   * From now on answers carry `Connection: close`, and connections that stay idle are closed, so that callers reconnect and
   * the load balancer picks another entry.
   */
  stopKeepAlive(): void {
    if (this.stopping) return;
    this.stopping = true;
    void this.closeIdleConnections();
  }

  /**
   * Closes the listener once no connection has arrived for a short time, because closing it resets connections that
   * wait to be accepted. Then waits for the connections to close.
   * @param maxWaitMs maximum wait for new connections to cease.
   */
  async drain(maxWaitMs: number): Promise<void> {
    const waitUntil = this.clock.monotonic() + maxWaitMs;
    while (
      this.clock.monotonic() - this.lastConnectionAt < ACCEPT_QUIET_MS &&
      this.clock.monotonic() < waitUntil
    ) {
      await this.clock.sleep(DRAIN_POLL_MS);
    }
    // `close` of the HTTP server closes idle connections at once; that of the net server closes only the listener.
    NetServer.prototype.close.call(this.server);
    this.stopKeepAlive();
    while (this.openConnections.size > 0) await this.clock.sleep(DRAIN_POLL_MS);
  }

  /** Closes each connection after an idle period, because the caller's next request may already be on its way. */
  private async closeIdleConnections(): Promise<void> {
    while (!this.closed) {
      // A request that has arrived is read first: closing its connection would break it.
      await new Promise((resolve) => setImmediate(resolve));
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
      if (now - connection.activeAt >= DRAIN_IDLE_MS) {
        this.beginEnd(socket, 'idle');
        socket.destroySoon();
      }
    }
  }

  /** Closes the listener and all connections at once. */
  async close(): Promise<void> {
    this.closed = true;
    const { answering } = this.states;
    if (answering > 0) this.log.event(entryEvents.unfinished, { ...this.stopRecord() });
    for (const socket of this.openConnections.keys()) this.beginEnd(socket, 'forced');
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
      this.answeredAt = this.clock.monotonic();
      if (outgoing.getHeader('connection') === 'close') this.beginEnd(socket, 'answered');
      this.closeAfter(socket, outgoing);
    });
  }

  /**
   * Closes a connection whose answer started before the stop and so could not carry `Connection: close`.
   * Otherwise its caller would keep sending requests on it, and the last one would be cut off when the time for the
   * stop is over. A request that arrives while the connection closes is never read, so its caller may safely
   * retry it elsewhere.
   */
  private closeAfter(socket: Socket, outgoing: ServerResponse): void {
    const others = (this.openConnections.get(socket)?.responses.size ?? 0) - 1;
    if (!this.stopping || others > 0 || outgoing.getHeader('connection') === 'close') return;
    this.beginEnd(socket, 'answered');
    socket.destroySoon();
  }

  /** Notes that this side ends a connection; the first cause counts. */
  private beginEnd(socket: Socket, cause: EndCause): void {
    const connection = this.openConnections.get(socket);
    if (connection === undefined || connection.ending !== undefined) return;
    const { bytesRead, writableLength } = socket;
    connection.ending = { cause, at: this.clock.monotonic(), unsentBytes: writableLength, bytesRead };
  }

  private recordEnd(socket: Socket, hadError: boolean): void {
    const connection = this.openConnections.get(socket);
    this.openConnections.delete(socket);
    if (connection === undefined) return;
    const unfinishedAnswers = [...connection.responses].filter((one) => !one.writableFinished).length;
    const { ending } = connection;
    const cause = ending?.cause ?? (hadError ? 'reset' : 'caller');
    const closingMs = ending === undefined ? 0 : Math.round(this.clock.monotonic() - ending.at);
    const lateBytes = ending === undefined ? 0 : socket.bytesRead - ending.bytesRead;
    const unsentBytes = ending?.unsentBytes ?? socket.writableLength;
    this.ends.record({ cause, unfinishedAnswers, unsentBytes, lateBytes, closingMs }, this.stopping);
  }

  private watchConnections(): void {
    this.server.on('connection', (socket: Socket) => {
      this.stalls.recordConnection();
      this.lastConnectionAt = this.clock.monotonic();
      this.openConnections.set(socket, {
        responses: new Set(),
        bytesRead: 0,
        activeAt: this.lastConnectionAt,
      });
      socket.once('close', (hadError) => {
        this.recordEnd(socket, hadError);
      });
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
    this.beginEnd(socket, 'invalid-input');
    const answers = [...(this.openConnections.get(socket)?.responses ?? [])];
    const hasRequestInProgress = answers.some((answer) => answer.headersSent || answer.req.complete);
    // Earlier requests of the connection are in progress: the caller would take an error for the answer to one of them.
    if (hasRequestInProgress) socket.destroy();
    else this.refuseAndLinger(error, socket);
  }

  /**
   * Answers with an error and keeps reading for a short time before closing. Closing while the caller is still sending
   * resets the connection, and a reset can discard the error before the caller has read it.
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
