/** HTTP face of the engine stand-in: docs/engine-protocol.md, and `/stand-in/…` for faults and counts. */
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import type { Context } from 'hono';
import * as z from 'zod';
import { systemClock } from '@jasmineroute/core';
import { listenHttp } from '../ready/index.js';
import type { Listening, NodeEnvironment } from '../ready/index.js';
import { EngineStandIn } from './engine.js';
import { readPrompt } from './prompt.js';
import type { ApiKind } from './prompt.js';
import type { EngineSettings } from './settings.js';
import { ended, streamAnswer, wholeAnswer } from './stream.js';

type NodeContext = Context<NodeEnvironment>;

const PING_MS = 500;

const apiPaths: Record<string, ApiKind> = { '/v1/completions': 'completion', '/v1/chat/completions': 'chat' };

const tuningChange = z.strictObject({
  prefillRate: z.number().positive().optional(),
  chunkTokens: z.number().int().positive().optional(),
  stepMs: z.number().positive().optional(),
  slowFactor: z.number().positive().optional(),
  eventDelayMs: z.number().nonnegative().optional(),
  eventLoss: z.number().min(0).max(1).optional(),
  checkFence: z.boolean().optional(),
});

const slowChange = z.object({ factor: z.number().positive() });
const abortBody = z.object({ rid: z.string() });
const importBody = z.object({ from: z.url(), hashes: z.array(z.string()) });

const errorBody = (message: string): object => ({ error: { message, type: 'invalid_request_error' } });

const eventHeaders = (engine: EngineStandIn, id?: string): Record<string, string> => ({
  'Content-Type': 'text/event-stream',
  'Cache-Control': 'no-store',
  'X-Engine-Incarnation': engine.incarnation,
  ...(id === undefined ? {} : { 'X-Request-Id': id }),
});

async function runRequest(engine: EngineStandIn, kind: ApiKind, context: NodeContext): Promise<Response> {
  const id = context.req.header('X-Request-Id') ?? `own-${crypto.randomUUID()}`;
  context.header('X-Request-Id', id);
  const prompt = readPrompt[kind](await context.req.json());
  const submitted = engine.submit(id, prompt);
  if (submitted.isErr()) return context.json(errorBody(submitted.error.message), submitted.error.status);
  const generation = submitted.value;
  const { outgoing } = context.env;
  if (prompt.stream) {
    outgoing.writeHead(200, eventHeaders(engine, id));
    outgoing.flushHeaders();
    streamAnswer(generation, 0, outgoing, engine.clock);
    return RESPONSE_ALREADY_SENT;
  }
  await ended(generation, outgoing, engine.clock);
  if (generation.stage === 'done') return context.json(wholeAnswer(generation));
  return context.json(errorBody('cancelled'), 500);
}

function resumeStream(engine: EngineStandIn, context: NodeContext): Response {
  const id = context.req.param('id') ?? '';
  const from = z.coerce
    .number()
    .int()
    .nonnegative()
    .parse(context.req.query('from') ?? '0');
  const generation = engine.find(id);
  if (generation === undefined || generation.stage === 'cancelled') {
    return context.json(errorBody('unknown stream'), 404);
  }
  const { outgoing } = context.env;
  outgoing.writeHead(200, eventHeaders(engine, id));
  outgoing.flushHeaders();
  streamAnswer(generation, from, outgoing, engine.clock);
  return RESPONSE_ALREADY_SENT;
}

function followEvents(engine: EngineStandIn, context: NodeContext): Response {
  const from = z.coerce
    .number()
    .int()
    .nonnegative()
    .parse(context.req.query('from') ?? '0');
  const { outgoing } = context.env;
  outgoing.writeHead(200, eventHeaders(engine));
  outgoing.flushHeaders();
  const stop = engine.feed.read(from, (event) => {
    outgoing.write(`id: ${event.sequence}\ndata: ${event.text}\n\n`);
  });
  const ping = setInterval(() => outgoing.write(': ping\n\n'), PING_MS);
  outgoing.once('close', () => {
    stop();
    clearInterval(ping);
  });
  return RESPONSE_ALREADY_SENT;
}

function addAnswers(app: Hono<NodeEnvironment>, engine: EngineStandIn): void {
  for (const [path, kind] of Object.entries(apiPaths)) {
    app.post(path, (context) => runRequest(engine, kind, context));
  }
  app.get('/v1/streams/:id', (context) => resumeStream(engine, context));
  app.post('/abort_request', async (context) => {
    const { rid } = abortBody.parse(await context.req.json());
    return context.json({ state: engine.abort(rid) });
  });
}

function addState(app: Hono<NodeEnvironment>, engine: EngineStandIn): void {
  app.get('/v1/models', (context) => {
    const data = engine.inventory.list().map(({ model, version, adapters }) => ({
      id: model,
      object: 'model',
      created: 0,
      owned_by: 'stand-in',
      version,
      adapters,
    }));
    return context.json({ object: 'list', data });
  });
  app.get('/health', (context) =>
    context.json({
      incarnation: engine.incarnation,
      ready: true,
      capacity: engine.settings.slots,
      role: engine.inventory.role,
      models: engine.inventory.list(),
    }),
  );
  app.get('/load', (context) => {
    const { running, queued, queuedTokens } = engine.reportedLoad();
    return context.json({
      incarnation: engine.incarnation,
      running,
      queued,
      queued_tokens: queuedTokens,
    });
  });
}

function addCache(app: Hono<NodeEnvironment>, engine: EngineStandIn): void {
  app.get('/kv_events', (context) => followEvents(engine, context));
  app.get('/kv_snapshot', (context) => context.json(engine.snapshot()));
  app.get('/kv/export', async (context) => {
    const hashes = (context.req.query('hashes') ?? '').split(',');
    return context.json(await engine.exportBlocks(hashes));
  });
  app.post('/kv/import', async (context) => {
    const { from, hashes } = importBody.parse(await context.req.json());
    return context.json({ imported: await engine.importBlocks(from, hashes) });
  });
}

function addOrders(app: Hono<NodeEnvironment>, engine: EngineStandIn): void {
  for (const [path, order] of Object.entries(engine.inventory.orders)) {
    app.post(path, async (context) => {
      const done = await order(await context.req.json());
      if (done.isOk()) return context.json({ ok: true });
      return context.json(errorBody(done.error.message), done.error.status);
    });
  }
}

function addFaults(app: Hono<NodeEnvironment>, engine: EngineStandIn): void {
  app.get('/stand-in/executions', (context) => context.json(engine.executions.report()));
  app.get('/stand-in/stats', (context) => context.json(engine.stats()));
  app.post('/stand-in/crash', () => {
    process.kill(process.pid, 'SIGKILL');
    return RESPONSE_ALREADY_SENT;
  });
  app.post('/stand-in/slow', async (context) => {
    engine.tuning.slowFactor = slowChange.parse(await context.req.json()).factor;
    return context.json(engine.tuning);
  });
  app.post('/stand-in/tune', async (context) => {
    Object.assign(engine.tuning, tuningChange.parse(await context.req.json()));
    return context.json(engine.tuning);
  });
}

/** Builds the app over an engine. */
export function engineApp(engine: EngineStandIn): Hono<NodeEnvironment> {
  const app = new Hono<NodeEnvironment>();
  app.use(async (context, next) => {
    context.header('X-Engine-Incarnation', engine.incarnation);
    await next();
  });
  addAnswers(app, engine);
  addState(app, engine);
  addCache(app, engine);
  addOrders(app, engine);
  addFaults(app, engine);
  app.onError((error, context) => {
    const wrong = error instanceof z.ZodError || error instanceof SyntaxError;
    return context.json(errorBody(error.message), wrong ? 400 : 500);
  });
  return app;
}

/** A running engine stand-in. */
export interface RunningEngine extends Listening {
  readonly engine: EngineStandIn;
}

/** Starts an engine stand-in in this process. */
export async function startEngine(settings: EngineSettings): Promise<RunningEngine> {
  const engine = new EngineStandIn(settings, systemClock);
  const listening = await listenHttp(engineApp(engine), settings.port);
  engine.start();
  return {
    ...listening,
    engine,
    close: async () => {
      engine.stop();
      await listening.close();
    },
  };
}
