/** The HTTP server for callers: limits, invalid requests, and planned stop. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import { logListenerErrors } from '@jasmineroute/core';
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import { entryEvents } from '../events.js';
import type { EntrySettings } from '../setting/index.js';
import type { Arrival } from './arrival.js';
import { acceptArrived } from './arrivedConnections.js';
import {
  HEAD_TOO_LARGE,
  NO_MEMORY_FOR_HEAD,
  refuseConnection,
  statusOfParserError,
} from './badConnection.js';
import { CallerConnection } from './callerConnection.js';
import { CompactMessage } from './compactMessage.js';
import { ConnectionEnds } from './connectionEnds.js';
import { headBytesOf } from './head.js';
import { PacedSocket } from './pacedSocket.js';
import { ReadBuffers } from './readBuffers.js';
import { UnfinishedHead } from './unfinishedHead.js';
import type { Uploads } from './uploads.js';
import type { WaitingBudgets } from './waitingRequests.js';

/** How often Node checks for requests that exceed their timeouts, milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/**
 * The limits of Node for a head: it drops fields above the one without an error, and counts names and values only for the other.
 * This server counts for itself what is read of a head.
 */
const ANY_NUMBER_OF_FIELDS = 0;
const ANY_SIZE = Number.MAX_SAFE_INTEGER;

/** A draining server closes its listener after this long without a new connection, milliseconds. */
const ACCEPT_QUIET_MS = 300;
const DRAIN_POLL_MS = 50;

/** A draining server closes connections that have been idle for this long, milliseconds. */
const DRAIN_IDLE_MS = 1_000;

/** Shares of the memory for callers that requests which wait for their turns take at most, and their bodies. */
const WAITING_REQUESTS_SHARE = 0.125;
const WAITING_BODIES_SHARE = 0.25;

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

/**
 * Handles one request of a caller; resolves when nothing of it is in progress any more.
 * @param turn resolves when all answers before on the connection are complete, with false if it has ended.
 */
export type CallerListener = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  turn: Promise<boolean>,
  arrival: Arrival,
) => Promise<void>;

/** Node keeps a request that nobody handles for as long as its connection is open. */
function dropHead(incoming: IncomingMessage): void {
  if (incoming instanceof CompactMessage) incoming.dropHead();
}

/** The HTTP server that callers connect to. */
export class CallerServer {
  private readonly server: Server;
  private readonly openConnections = new Map<Duplex, CallerConnection>();
  private lastConnectionAt = 0;
  private acceptedConnections = 0;
  private stopping = false;
  private closed = false;
  /** Requests that are being handled, also those of connections that are closed. */
  private requests = 0;
  private readonly ends: ConnectionEnds;
  private readonly waitingBudgets: WaitingBudgets;
  private readonly buffers: ReadBuffers;
  private maxHeaderBytes: number;
  /** Monotonic time at which the last answer was complete. */
  private answeredAt: number | undefined;

  constructor(
    private readonly listener: CallerListener,
    private readonly settings: CallerServerSettings,
    private readonly uploads: Uploads,
    private readonly clock: Clock,
    private readonly stalls: StallWatch,
    private readonly log: Log,
    metrics: Metrics,
  ) {
    this.ends = new ConnectionEnds(log, metrics);
    const memory = uploads.budget;
    this.maxHeaderBytes = settings.maxHeaderBytes;
    this.buffers = new ReadBuffers(memory.limitBytes);
    this.waitingBudgets = {
      requests: memory.part(WAITING_REQUESTS_SHARE),
      bodies: memory.part(WAITING_BODIES_SHARE),
    };
    this.server = createServer(
      {
        maxHeaderSize: ANY_SIZE,
        headersTimeout: settings.headerTimeoutMs,
        requestTimeout: Math.max(settings.requestTimeoutMs, settings.headerTimeoutMs),
        keepAliveTimeout: settings.idleTimeoutMs,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
        requireHostHeader: false,
        IncomingMessage: CompactMessage,
      },
      (incoming, outgoing) => {
        const { socket } = incoming;
        if (headBytesOf(incoming) > this.maxHeaderBytes) {
          dropHead(incoming);
          this.refuseInput(HEAD_TOO_LARGE, socket);
          return;
        }
        const waitedSince = this.openConnections.get(socket)?.waitedSince;
        const turn = this.track(socket, outgoing);
        if (turn === undefined) dropHead(incoming);
        else void this.handle(incoming, outgoing, turn, this.arrivalOf(waitedSince));
      },
    );
    this.server.maxConnections = settings.maxConnections;
    this.server.maxHeadersCount = ANY_NUMBER_OF_FIELDS;
    this.watchConnections();
  }

  /** Starts listening. @returns host:port. */
  async listen(): Promise<string> {
    const { httpHost, httpPort } = this.settings;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(httpPort, httpHost, () => {
        this.server.off('error', reject);
        logListenerErrors(this.server, 'callers', this.log);
        resolve();
      });
    });
    return `${httpHost}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Changes the maximum size of a request head, which is in force from the next bytes of each connection on. */
  setMaxHeaderBytes(bytes: number): void {
    this.maxHeaderBytes = bytes;
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

  /** Number of connections since the start. */
  get accepted(): number {
    return this.acceptedConnections;
  }

  /** Open connections by state. */
  get states(): ConnectionStates {
    const open = [...this.openConnections.values()];
    const ending = open.filter(({ isEnding }) => isEnding).length;
    const answering = open.filter(({ isEnding, answers }) => !isEnding && answers.size > 0).length;
    return { answering, idle: open.length - ending - answering, ending };
  }

  /** What tells how a planned stop went: connections by state, ends by cause, and the age of the last complete answer. */
  stopRecord(): Readonly<Record<string, unknown>> {
    const { answeredAt } = this;
    const lastAnswerMs =
      answeredAt === undefined ? undefined : Math.round(this.clock.monotonic() - answeredAt);
    return { requests: this.requests, connections: this.states, ended: this.ends.totals, lastAnswerMs };
  }

  /**
   * From now on answers carry `Connection: close`, and connections that stay idle are closed, so that callers reconnect and
   * the load balancer picks another entry.
   */
  stopKeepAlive(): void {
    if (this.stopping) return;
    this.stopping = true;
    for (const connection of this.openConnections.values()) connection.announceEnd();
    void this.closeIdleConnections();
  }

  /**
   * Closes the listener once no connection has arrived for a short time, because closing it resets connections that
   * wait to be accepted. Then waits for the requests in progress and for the connections to close.
   * @param maxWaitMs maximum wait for new connections to cease.
   * @param endsAt monotonic time from which connections that this side has ended are not waited for.
   */
  async drain(maxWaitMs: number, endsAt = Infinity): Promise<void> {
    this.stopKeepAlive();
    const waitUntil = this.clock.monotonic() + maxWaitMs;
    while (
      this.clock.monotonic() - this.lastConnectionAt < ACCEPT_QUIET_MS &&
      this.clock.monotonic() < waitUntil
    ) {
      await this.clock.sleep(DRAIN_POLL_MS);
      await acceptArrived(() => this.accepted);
    }
    await acceptArrived(() => this.accepted);
    // `close` of the HTTP server closes idle connections at once; that of the net server closes only the listener.
    NetServer.prototype.close.call(this.server);
    while (!this.isDrained(endsAt)) await this.clock.sleep(DRAIN_POLL_MS);
  }

  private isDrained(endsAt: number): boolean {
    if (this.requests > 0) return false;
    const open = [...this.openConnections.values()];
    return open.length === 0 || (this.clock.monotonic() >= endsAt && open.every(({ isEnding }) => isEnding));
  }

  /** Closes each connection after an idle period, because the caller's next request may already be on its way. */
  private async closeIdleConnections(): Promise<void> {
    while (!this.closed) {
      // A request that has arrived is read first: closing its connection would break it.
      const readAfter = this.clock.monotonic();
      await setImmediate();
      this.closeIdle(readAfter);
      await this.clock.sleep(DRAIN_POLL_MS);
    }
  }

  private closeIdle(readAfter: number): void {
    for (const connection of this.openConnections.values()) {
      if (connection.idleMs(readAfter) >= DRAIN_IDLE_MS) connection.end('idle', false);
    }
  }

  /** Closes the listener and all connections at once. */
  async close(): Promise<void> {
    this.closed = true;
    const { answering } = this.states;
    if (answering > 0) this.log.event(entryEvents.unfinished, { ...this.stopRecord() });
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    for (const connection of this.openConnections.values()) connection.destroy('forced');
    await closed;
  }

  private async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    turn: Promise<boolean>,
    arrival: Arrival,
  ): Promise<void> {
    this.requests += 1;
    try {
      await this.listener(incoming, outgoing, turn, arrival);
    } finally {
      this.requests -= 1;
    }
  }

  /** The arrival of a request that is read now. */
  private arrivalOf(waitedSince = Infinity): Arrival {
    return {
      earliestAt: Math.min(this.stalls.earliestArrival(), waitedSince),
      readAt: this.clock.monotonic(),
    };
  }

  /** @returns when the request is to be handled; undefined: not at all, as it arrived after this side had ended. */
  private track(socket: Duplex, outgoing: ServerResponse): Promise<boolean> | undefined {
    const connection = this.openConnections.get(socket);
    if (connection?.add(outgoing, this.stopping) !== true) return undefined;
    outgoing.once('finish', () => {
      this.answeredAt = this.clock.monotonic();
      if (connection.isRefused(outgoing)) this.log.event(entryEvents.waitingRefused);
      this.closeAfter(connection, outgoing);
    });
    return this.turnOf(connection, outgoing);
  }

  /** Resolves behind the answers before on the connection, with false if it has ended, and when the process has time. */
  private async turnOf(connection: CallerConnection, outgoing: ServerResponse): Promise<boolean> {
    const hasWaited = connection.waitedSince !== undefined;
    if (!(await connection.turnOf(outgoing))) return false;
    await this.stalls.turns.next();
    // The end of a connection is read after the request on it, and its caller may have left before that was read.
    if (hasWaited) await this.stalls.waitForCloses();
    return true;
  }

  /**
   * Ends a connection after its last answer: in a planned stop where that started before it and so could not carry
   * `Connection: close`, and after invalid input. Otherwise, in a stop, its caller would keep sending requests on it, and the
   * last one would be cut off when the time for the stop is over.
   */
  private closeAfter(connection: CallerConnection, answered: ServerResponse): void {
    if (connection.isAnswering(answered)) return;
    if (connection.isGivenUp) connection.end('invalid-input', true);
    else if (this.stopping) connection.end('answered', false);
  }

  private watchConnections(): void {
    const backlog = this.stalls.listener('callers');
    // What stands before the parser is its connection, in place of the one that the listener accepts.
    const parsers = this.server.listeners('connection');
    this.server.removeAllListeners('connection');
    this.server.on('connection', (accepted: Socket) => {
      this.stalls.recordConnection();
      this.lastConnectionAt = this.clock.monotonic();
      this.acceptedConnections += 1;
      const socket = new PacedSocket(accepted, this.buffers);
      for (const parse of parsers) parse.call(this.server, socket);
      this.watchConnection(socket, backlog.record());
    });
    // The time for which a connection may be idle is over.
    this.server.on('timeout', (socket: Duplex) => {
      this.openConnections.get(socket)?.end('idle', false);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
      this.handleClientError(error, socket);
    });
    this.server.on('connect', (_request: IncomingMessage, socket: Duplex) => {
      this.refuseTunnel(socket);
    });
  }

  private watchConnection(socket: PacedSocket, waitedSince: number | undefined): void {
    const connection = new CallerConnection(socket, this.clock, this.waitingBudgets, waitedSince);
    this.openConnections.set(socket, connection);
    const head = new UnfinishedHead(this.uploads, () => {
      this.refuseInput(NO_MEMORY_FOR_HEAD, socket);
    });
    // The parser's listener is the first, so the parser has the piece by then.
    socket.on('data', (piece: Buffer) => {
      this.countHead(head, connection, socket, piece);
    });
    socket.once('close', () => {
      head.clear();
      this.openConnections.delete(socket);
      this.ends.record(connection.record(socket.hadError), this.stopping);
    });
  }

  /** Counts what the parser holds of a head, or of trailer fields, that is not complete. */
  private countHead(
    head: UnfinishedHead,
    connection: CallerConnection,
    socket: PacedSocket,
    piece: Buffer,
  ): void {
    // What the parser holds then stays counted until the connection is closed.
    if (connection.isEnding || connection.isGivenUp) return;
    if (connection.hasAdvanced()) {
      head.clear();
      return;
    }
    const isHeld = head.tryAdd(piece);
    const isTooLarge = head.size > this.maxHeaderBytes;
    if (isHeld && !isTooLarge) return;
    this.refuseInput(isTooLarge ? HEAD_TOO_LARGE : NO_MEMORY_FOR_HEAD, socket);
  }

  private handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this.openConnections.get(socket);
    if (connection === undefined || connection.isEnding || connection.isGivenUp) return;
    if (!socket.writable || error.code === 'ECONNRESET') socket.destroy();
    else this.refuseInput(error.code, socket);
  }

  /** Refuses what was read last on a connection. */
  private refuseInput(code: string | undefined, socket: Duplex): void {
    const connection = this.openConnections.get(socket);
    if (connection === undefined || connection.isEnding || connection.isGivenUp) return;
    this.log.event(entryEvents.badConnection, { code, status: statusOfParserError(code) });
    // Earlier requests of the connection are in progress: the caller would take an error for the answer to one of them.
    if (connection.isInProgress) connection.giveUpInput();
    else this.refuse(code, socket);
  }

  private refuseTunnel(socket: Duplex): void {
    const connection = this.openConnections.get(socket);
    if (connection?.isInProgress === true) connection.giveUpTunnel();
    else this.refuse(undefined, socket);
  }

  /** Answers with an error and ends the connection, as later bytes can't be parsed reliably. */
  private refuse(code: string | undefined, socket: Duplex): void {
    refuseConnection(code, socket);
    this.openConnections.get(socket)?.end('invalid-input', true);
  }
}
