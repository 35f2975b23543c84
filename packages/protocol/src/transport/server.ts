/** Server for calls between the processes of the system. */
import http2 from 'node:http2';
import type { AddressInfo, Socket } from 'node:net';
import { createSecureContext } from 'node:tls';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { ConnectRouter } from '@connectrpc/connect';
import { logListenerErrors } from '@jasmineroute/core';
import type { Log, StallWatch } from '@jasmineroute/core';
import { requireFields } from '../check/index.js';
import { requireLength } from './messageLength.js';
import { MAX_MESSAGE_BYTES } from './peers.js';
import type { TlsMaterial, TlsStore } from './tls.js';

/** A listening server. */
export interface RpcServer {
  /** host:port it listens on. */
  readonly address: string;
  /** Accepts no new connections and resolves when the calls in progress have ended. */
  drain(): Promise<void>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Most concurrent streams of a connection. */
const MAX_STREAMS = 10_000;

/**
 * Flow-control window of a stream and of a connection. With the default of HTTP/2, 64 KB, each further 64 KB of a message
 * would wait for a round trip.
 */
const WINDOW_BYTES = 1024 * 1024;

/** @throws Error when the key material is invalid or does not match. */
export function checkTls(material: TlsMaterial): void {
  createSecureContext(material);
}

function secureServer(
  tls: TlsStore,
  settings: http2.Settings,
  handler: ReturnType<typeof connectNodeAdapter>,
): http2.Http2SecureServer {
  const required = { requestCert: true, rejectUnauthorized: true };
  const server = http2.createSecureServer({ ...tls.current(), ...required, settings }, handler);
  tls.onReload((material) => {
    server.setSecureContext({ ...material });
  });
  return server;
}

type CallHandler = ReturnType<typeof connectNodeAdapter>;

/** Lets calls be handled in their turn, except those of urgent services. A call that ended before is not handled. */
function inTurns(
  handler: CallHandler,
  { turns }: StallWatch,
  urgentServices: readonly string[],
): CallHandler {
  const urgentPaths = urgentServices.map((service) => `/${service}/`);
  return (request, response) => {
    if (urgentPaths.some((path) => request.url?.startsWith(path))) {
      handler(request, response);
      return;
    }
    turns.run(() => {
      if (!response.destroyed) handler(request, response);
    });
  };
}

/** How a server shares the event loop of its process. */
export interface LoopShare {
  readonly stalls: StallWatch;
  readonly log: Log;
  /** Names of services whose calls do not wait for their turn. */
  readonly urgentServices?: readonly string[];
}

/** Listens on host:port (port 0: any free port) and serves `routes`. */
export async function listen(
  host: string,
  port: number,
  routes: (router: ConnectRouter) => void,
  tls?: TlsStore,
  loop?: LoopShare,
): Promise<RpcServer> {
  const adapter = connectNodeAdapter({
    routes,
    readMaxBytes: MAX_MESSAGE_BYTES,
    interceptors: [requireLength, requireFields],
  });
  const handler = loop === undefined ? adapter : inTurns(adapter, loop.stalls, loop.urgentServices ?? []);
  const settings = { maxConcurrentStreams: MAX_STREAMS, initialWindowSize: WINDOW_BYTES };
  const server =
    tls === undefined ? http2.createServer({ settings }, handler) : secureServer(tls, settings, handler);
  const sockets = new Set<Socket>();
  const backlog = loop?.stalls.listener('rpc');
  server.on('connection', (socket: Socket) => {
    backlog?.record();
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const sessions = new Set<http2.ServerHttp2Session>();
  server.on('session', (session: http2.ServerHttp2Session) => {
    sessions.add(session);
    session.setLocalWindowSize(WINDOW_BYTES);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => undefined);
  });
  server.on('sessionError', () => undefined);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      if (loop !== undefined) logListenerErrors(server, 'rpc', loop.log);
      resolve();
    });
  });
  const bound = server.address() as AddressInfo;
  const closed = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  return {
    address: `${host}:${bound.port}`,
    drain: async () => {
      const ended = closed();
      // Sends GOAWAY: open streams finish, and the client connects to another server.
      for (const session of sessions) session.close();
      await ended;
    },
    close: async () => {
      const ended = closed();
      for (const session of sessions) session.destroy();
      // After `close`, a session waits for its peer even when it is destroyed. If the peer's machine is lost, the peer never
      // closes, and a planned stop would not end.
      for (const socket of sockets) socket.destroy();
      await ended;
    },
  };
}
