/** A plain service: answers any path with an echo of the call, and counts what it ran by key. */
import { randomBytes } from 'node:crypto';
import { systemClock } from '@jasmineroute/core';
import { Hono } from 'hono';
import * as z from 'zod';
import { ExecutionLedger } from '../engine/index.js';
import { listenHttp } from '../ready/index.js';
import type { Listening, NodeEnvironment } from '../ready/index.js';
import type { PlainSettings } from './settings.js';

const slowChange = z.object({ factor: z.number().positive() });

/** Starts a plain service stand-in in this process. */
export function startPlain(settings: PlainSettings): Promise<Listening> {
  const ledger = new ExecutionLedger(settings.executions);
  const incarnation = `${Date.now().toString(36)}-${randomBytes(4).toString('hex')}`;
  const app = new Hono<NodeEnvironment>();
  let running = 0;
  let latencyMs = settings.latencyMs;

  app.get('/health', (context) =>
    context.json({ incarnation, ready: true, capacity: settings.capacity, role: 'plain', models: [] }),
  );
  app.get('/load', (context) => context.json({ incarnation, running, queued: 0, queued_tokens: 0 }));
  app.get('/stand-in/executions', (context) => context.json(ledger.report()));
  app.post('/stand-in/crash', () => {
    process.kill(process.pid, 'SIGKILL');
    return new Response();
  });
  app.post('/stand-in/slow', async (context) => {
    latencyMs = settings.latencyMs * slowChange.parse(await context.req.json()).factor;
    return context.json({ latencyMs });
  });
  app.all('*', async (context) => {
    const id = context.req.header('X-Request-Id') ?? '';
    const key = context.req.header('Idempotency-Key') ?? '';
    const nonce = context.req.header('X-Nonce') ?? key;
    ledger.record(id, nonce, systemClock.now());
    running += 1;
    const body = await context.req.text();
    await systemClock.sleep(latencyMs);
    running -= 1;
    context.header('X-Request-Id', id);
    context.header('X-Engine-Incarnation', incarnation);
    return context.json({
      service: settings.name,
      method: context.req.method,
      path: context.req.path,
      key,
      nonce,
      body,
    });
  });
  return listenHttp(app, settings.port);
}
