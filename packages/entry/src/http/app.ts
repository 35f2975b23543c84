/** HTTP routes for callers and for the platform's health checks. */
import type { IncomingMessage } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { fault } from '@jasmineroute/core';
import type { Readiness } from '@jasmineroute/protocol';
import { errorBody } from './reply.js';
import type { Arrival } from './arrival.js';
import type { CallerListener } from './server.js';

/** Node's raw request and response. */
export type CallerBindings = HttpBindings;

/** Answers one request by writing to the raw response. */
export type RawHandler = (bindings: CallerBindings) => Promise<void>;

/** Handlers of the routes. */
export interface AppHandlers {
  readonly readiness: () => Readiness;
  readonly models: RawHandler;
  readonly call: RawHandler;
}

/** Routes for health checks and the list of models; every other request is a call. */
export function createApp({ readiness, models, call }: AppHandlers): Hono<{ Bindings: CallerBindings }> {
  const app = new Hono<{ Bindings: CallerBindings }>();
  app.get('/healthz', (context) => context.json({ status: 'ok' }));
  app.get('/readyz', (context) => {
    const state = readiness();
    return context.json(state, state.ready ? 200 : 503);
  });
  app.on('GET', ['/v1/models', '/v1/models/*'], async (context) => {
    await models(context.env);
    return RESPONSE_ALREADY_SENT;
  });
  app.all('*', async (context) => {
    await call(context.env);
    return RESPONSE_ALREADY_SENT;
  });
  return app;
}

/**
 * The routes as a request listener of Node's HTTP server.
 * @param hostname used if the Host field is missing, as in old health checks. Calls without it are refused.
 * @param onArrival called with each request when its head was read, before it waits for its turn.
 * @param onEnd called when it was handled, or will not be.
 */
export function listenerOf(
  app: Hono<{ Bindings: CallerBindings }>,
  hostname: string,
  onArrival: (incoming: IncomingMessage, arrival: Arrival) => void,
  onEnd: (incoming: IncomingMessage) => void,
): CallerListener {
  const listener = getRequestListener(app.fetch, {
    overrideGlobalObjects: false,
    hostname,
    errorHandler: () => {
      const body = errorBody(fault('invalid-request', 'the request is not valid'));
      return Response.json(body, { status: 400, headers: { 'x-run-state': 'not-run' } });
    },
  });
  return async (incoming, outgoing, turn, arrival) => {
    onArrival(incoming, arrival);
    try {
      if (await turn) await listener(incoming, outgoing);
    } finally {
      onEnd(incoming);
    }
  };
}
