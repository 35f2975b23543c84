/** A server for callers with scripted answers, and a caller that writes bytes. For tests. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { StallWatch, silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import type { Clock } from '@jasmineroute/core';
import { CallerServer } from '../http/server.js';
import { MemoryBudget } from '../http/memoryBudget.js';
import { Uploads } from '../http/uploads.js';
import type { CallerServerSettings } from '../http/server.js';

/** Settings of a server under test. */
type TestSettings = CallerServerSettings & { readonly maxBufferedBytes: number };

const DEFAULTS: TestSettings = {
  httpHost: '127.0.0.1',
  httpPort: 0,
  maxHeaderBytes: 16_384,
  maxConnections: 3_000,
  maxBufferedBytes: 67_108_864,
  headerTimeoutMs: 3_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 15_000,
};

/** One line of the log: the event's id and its fields. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Handles a request, at once or until a promise resolves. */
export type TestListener = (incoming: IncomingMessage, outgoing: ServerResponse) => unknown;

/** A server under test. */
export class TestServer {
  readonly lines: LogLine[] = [];
  /** Paths of the requests that were handled, in order. */
  readonly handled: string[] = [];
  readonly server: CallerServer;
  /** host:port. */
  address = '';

  constructor(listener: TestListener, settings: Partial<TestSettings> = {}, clock: Clock = systemClock) {
    const log = {
      ...silentLog,
      event: ({ id }: { readonly id: number }, fields: object = {}) => {
        this.lines.push({ id, ...fields });
      },
    };
    this.server = new CallerServer(
      async (incoming, outgoing, turn) => {
        if (!(await turn)) return;
        this.handled.push(incoming.url ?? '');
        await listener(incoming, outgoing);
      },
      { ...DEFAULTS, ...settings },
      new Uploads(new MemoryBudget(settings.maxBufferedBytes ?? DEFAULTS.maxBufferedBytes), clock),
      clock,
      new StallWatch(clock),
      log,
      silentMetrics,
    );
  }

  static async start(
    listener: TestListener,
    settings: Partial<TestSettings> = {},
    clock: Clock = systemClock,
  ): Promise<TestServer> {
    const test = new TestServer(listener, settings, clock);
    test.address = await test.server.listen();
    return test;
  }

  /** Connects a caller. */
  connect(): RawCaller {
    const [host = '', port] = this.address.split(':');
    return new RawCaller(connect({ host, port: Number(port), allowHalfOpen: true }));
  }

  /** Lines of an event. */
  linesOf({ id }: { readonly id: number }): LogLine[] {
    return this.lines.filter((line) => line.id === id);
  }
}

/** A caller that writes bytes as they are and keeps its side open until told. */
export class RawCaller {
  text = '';
  /** The server has ended its side. */
  isEnded = false;
  /** Code of the error that broke the connection; empty: none did. */
  error = '';
  isClosed = false;

  constructor(readonly socket: Socket) {
    socket.on('data', (bytes: Buffer) => (this.text += bytes.toString('latin1')));
    socket.on('end', () => (this.isEnded = true));
    socket.on('close', () => (this.isClosed = true));
    socket.on('error', (error: NodeJS.ErrnoException) => (this.error = error.code ?? 'unknown'));
  }

  /** Writes the bytes of a request. */
  ask(path: string, body = '', fields = ''): void {
    this.socket.write(requestBytes(path, body, fields));
  }
}

/** Bytes of a request; each field ends with a line break. */
export const requestBytes = (path: string, body = '', fields = ''): string =>
  `POST ${path} HTTP/1.1\r\nHost: a.example\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`;
