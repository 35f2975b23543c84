/** What the platform asks an agent or a control instance. An entry answers on its callers' port. */
import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import { logListenerErrors } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import type { Readiness } from '@jasmineroute/protocol';
import { Hono } from 'hono';

/** A listening health server. */
export interface HealthServer {
  /** host:port. */
  readonly address: string;
  close(): void;
}

/** Serves /healthz (the process lives) and /readyz (work should be sent here). */
export function serveHealth(
  host: string,
  port: number,
  log: Log,
  readiness: () => Readiness,
): Promise<HealthServer> {
  const app = new Hono();
  app.get('/healthz', (call) => call.json({ alive: true }));
  app.get('/readyz', (call) => {
    const state = readiness();
    return call.json(state, state.ready ? 200 : 503);
  });
  return open(app, host, port, log);
}

/** Serves the metrics as text under /metrics. */
export function serveMetrics(
  host: string,
  port: number,
  log: Log,
  text: () => Promise<string>,
): Promise<HealthServer> {
  const app = new Hono();
  app.get('/metrics', async (call) => call.text(await text()));
  return open(app, host, port, log);
}

function open(app: Hono, host: string, port: number, log: Log): Promise<HealthServer> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname: host, port }, (info: AddressInfo) => {
      server.off('error', reject);
      logListenerErrors(server, 'health', log);
      resolve({
        address: `${host}:${info.port}`,
        close: () => {
          server.close();
          if ('closeAllConnections' in server) server.closeAllConnections();
        },
      });
    });
    server.once('error', reject);
  });
}
