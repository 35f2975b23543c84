/** The routes that callers and the platform see. */
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import type { Readiness } from '@jasmineroute/protocol';

/** Raw request and response of Node. */
export type CallerBindings = HttpBindings;

/** Answers one request with the raw response. */
export type RawHandler = (bindings: CallerBindings) => Promise<void>;

/** What the routes lead to. */
export interface AppHandlers {
  readonly readiness: () => Readiness;
  readonly models: RawHandler;
  readonly call: RawHandler;
}

/** Health for the platform, the list of models, and everything else as calls. */
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
