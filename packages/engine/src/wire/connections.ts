/** Connections to one target. */
import type { Socket } from 'node:net';
import { Pool, buildConnector } from 'undici';
import type { Dispatcher } from 'undici';

/** Idle connections are closed before a common server does it, so that a request rarely meets a closing one. */
const KEEP_ALIVE_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Code that a reset gets in place of Node's own. */
const RESET_CODE = 'CONNECTION_RESET';

/**
 * Makes a reset count as an error. An answer without a length ends with its connection, and undici takes a reset, told by
 * its code, for such an end: half of an answer would be passed on as whole, with a length that fits. Under another code
 * the reset breaks the answer off, as it does one with a length. A reset whose error somebody else has taken reads as an
 * end; then the system knows no other end of the connection any more, and nobody is told of that end. Call it before
 * undici adds its own listeners.
 */
export function tellResets(socket: Socket): void {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_CODE;
  });
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...details: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...details: unknown[]): boolean => {
    if (event !== 'end' || socket.remoteAddress !== undefined) return emit(event, ...details);
    socket.destroy(Object.assign(new Error('the connection was reset'), { code: RESET_CODE }));
    return true;
  };
}

/** Opens connections that tell resets from ends. */
function resetTellingConnector(): buildConnector.connector {
  const open = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    open(options, (...opened) => {
      const [problem, socket] = opened;
      if (problem === null) tellResets(socket);
      callback(...opened);
    });
  };
}

/**
 * Two pools: one keeps connections for reuse, one opens a connection for each request. A kept connection may
 * be closed by the target just as a request leaves; whether the request was read is then not known. So
 * requests that must not run twice take a fresh one.
 */
export class Connections {
  private readonly kept: Pool;
  private readonly fresh: Pool;

  /** @param most connections that may be open at once in each pool; further requests wait. Absent: any number. */
  constructor(
    readonly origin: string,
    most?: number,
  ) {
    const connect = resetTellingConnector();
    const bounds = { headersTimeout: 0, bodyTimeout: 0, connect, connections: most };
    const keepAlive = { keepAliveTimeout: KEEP_ALIVE_MS, keepAliveMaxTimeout: KEEP_ALIVE_MS };
    this.kept = new Pool(origin, { ...bounds, ...keepAlive, pipelining: 1 });
    this.fresh = new Pool(origin, { ...bounds, pipelining: 0 });
  }

  /** The pool for a request. */
  pool(fresh = false): Dispatcher {
    return fresh ? this.fresh : this.kept;
  }

  /** Cuts all connections. */
  async close(): Promise<void> {
    await Promise.all([this.kept.destroy(), this.fresh.destroy()]);
  }
}
