/** The line by which a launcher learns that a stand-in listens, and where. */
import { serve } from '@hono/node-server';
import type { HttpBindings, ServerType } from '@hono/node-server';
import type { Hono } from 'hono';

/** Hono environment with the raw Node request and response. */
export interface NodeEnvironment {
  Bindings: HttpBindings;
}

/** A server that listens. */
export interface Listening {
  readonly port: number;
  /** "http://127.0.0.1:port". */
  readonly url: string;
  /** Closes all connections at once. */
  close(): Promise<void>;
}

const closeServer = (server: ServerType): Promise<void> =>
  new Promise((resolve) => {
    if ('closeAllConnections' in server) server.closeAllConnections();
    server.close(() => {
      resolve();
    });
  });

/** Serves on loopback; port 0 takes a free one. */
export function listenHttp(app: Hono<NodeEnvironment>, port: number): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, port, hostname: '127.0.0.1' }, (info) => {
      resolve({
        port: info.port,
        url: `http://127.0.0.1:${info.port}`,
        close: () => closeServer(server),
      });
    });
    server.on('error', reject);
  });
}

/** Prints the ready line: one JSON object on standard output. */
export function printReady(role: string, name: string, listening: Listening): void {
  const line = { ready: true, role, name, http: listening.url, port: listening.port, pid: process.pid };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
