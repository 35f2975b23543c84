/** Connections to one target. */
import type { Socket } from 'node:net';
import { Dispatcher, Pool, buildConnector } from 'undici';
import { systemClock } from '@jasmineroute/core';
import { watchReads } from './overhead.js';

/** Idle time after which a connection is closed: earlier than common servers do it, so that few requests meet a closing one. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Error code of a reset, in place of ECONNRESET. */
const RESET_CODE = 'CONNECTION_RESET';

/**
 * Time for which the end of an answer without a length is held, milliseconds. A target that ends its side of the connection and then
 * closes it without having read the request resets it, and that is read after the end.
 */
const RESET_WAIT_MS = 100;

/** Whether an answer that the end of a connection completes may be cut off by a reset, by connection. */
const cutChecks = new WeakMap<Socket, () => boolean>();

/**
 * Holds the end of a connection for a reset that may follow.
 * @param mayBeCut whether its end would now complete an answer to a request that its target may not have read.
 */
export function holdEnd(socket: Socket, mayBeCut: () => boolean): void {
  cutChecks.set(socket, mayBeCut);
}

/**
 * Makes a connection reset an error. An answer without a length ends with its connection, and undici treats an error with the
 * code of a reset as such an end: half of an answer would be forwarded as complete, with a matching length. With another code
 * the reset breaks the answer, as it does one with a length. If another listener has consumed the error, the reset appears as
 * an end, and the socket has no remote address any more; such an end event is suppressed. So is one that comes before the request is
 * written, as its target can't have read it. Call this before undici adds its own listeners.
 */
export function failOnReset(socket: Socket): void {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_CODE;
  });
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...details: unknown[]) => boolean;
  const fail = (message: string): true => {
    socket.destroy(Object.assign(new Error(message), { code: RESET_CODE }));
    return true;
  };
  // The remote address is kept once it was read, so it is read as late as possible.
  const end = (): boolean =>
    socket.remoteAddress === undefined ? fail('the connection was reset') : emit('end');
  socket.emit = (event: string | symbol, ...details: unknown[]): boolean => {
    if (event !== 'end') return emit(event, ...details);
    if (socket.writableLength > 0) return fail('the connection ended before the request was written');
    if (cutChecks.get(socket)?.() !== true) return end();
    // Otherwise the socket is closed as soon as this returns.
    socket.allowHalfOpen = true;
    systemClock.after(RESET_WAIT_MS, () => {
      if (!socket.destroyed) end();
    });
    return true;
  };
}

const openedAt = new WeakMap<Socket, number>();

/** Monotonic time by which a connection was open, milliseconds. */
export const openedAtOf = (socket: Socket): number => openedAt.get(socket) ?? systemClock.monotonic();

/** Opens connections on which a reset is an error. */
function resetAwareConnector(): buildConnector.connector {
  const open = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    open(options, (...opened) => {
      const [problem, socket] = opened;
      if (problem === null) {
        openedAt.set(socket, systemClock.monotonic());
        failOnReset(socket);
        watchReads(socket);
      }
      callback(...opened);
    });
  };
}

/** Stands for an origin that can't be called, such as a port above 65535: each request fails before it is sent. */
class UncallableOrigin extends Dispatcher {
  constructor(private readonly origin: string) {
    super();
  }

  override dispatch(): boolean {
    throw new Error(`${this.origin} can't be called`);
  }

  override destroy(): Promise<void> {
    return Promise.resolve();
  }
}

/**
 * Two pools: one reuses connections, one opens a connection for each request. The target may close a reused connection just
 * as a request is sent; whether it has read the request is then unknown. So requests that must not run twice use a new one.
 */
export class Connections {
  private readonly reusable: Dispatcher;
  private readonly fresh: Dispatcher;

  /** @param maxConnections connections that may be open at once in each pool; further requests wait. Absent: any number. */
  constructor(
    readonly origin: string,
    maxConnections?: number,
  ) {
    if (!URL.canParse(origin)) {
      this.reusable = new UncallableOrigin(origin);
      this.fresh = this.reusable;
      return;
    }
    const connect = resetAwareConnector();
    const bounds = { headersTimeout: 0, bodyTimeout: 0, connect, connections: maxConnections };
    const keepAlive = { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS };
    this.reusable = new Pool(origin, { ...bounds, ...keepAlive, pipelining: 1 });
    this.fresh = new Pool(origin, { ...bounds, pipelining: 0 });
  }

  /** Pool for a request; `fresh`: with a new connection for each. */
  pool(fresh = false): Dispatcher {
    return fresh ? this.fresh : this.reusable;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.reusable.destroy(), this.fresh.destroy()]);
  }
}
