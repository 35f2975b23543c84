/** The weight store, which hands out few sets of weights at once, and the store of kept KV cache. */
import { systemClock } from '@jasmineroute/core';
import { Hono } from 'hono';
import { blocksOfExport, runsOf, storedEvent } from '../engine/index.js';
import type { Block } from '../engine/index.js';
import { listenHttp } from '../ready/index.js';
import type { Listening, NodeEnvironment } from '../ready/index.js';
import type { StoreSettings } from './settings.js';

/** Lets a few tasks run at once, the others in order after them. */
class Gate {
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly limit: number) {}

  async pass<T>(task: () => Promise<T>): Promise<T> {
    if (this.running >= this.limit) await new Promise<void>((resolve) => this.waiting.push(resolve));
    else this.running += 1;
    try {
      return await task();
    } finally {
      const next = this.waiting.shift();
      if (next === undefined) this.running -= 1;
      else next();
    }
  }
}

/** Starts a store stand-in in this process. */
export function startStore(settings: StoreSettings): Promise<Listening> {
  const app = new Hono<NodeEnvironment>();
  const gate = new Gate(settings.concurrent);
  const blocks = new Map<string, Block>();
  const handedOut: Record<string, number> = {};

  app.get('/weights/:name/:version', async (context) => {
    const set = `${context.req.param('name')}@${context.req.param('version')}`;
    await gate.pass(() => systemClock.sleep(settings.loadMs));
    handedOut[set] = (handedOut[set] ?? 0) + 1;
    return context.json({ set });
  });
  app.get('/stand-in/stats', (context) => context.json({ handedOut, blocks: blocks.size }));
  app.post('/kv/put', async (context) => {
    for (const block of blocksOfExport(await context.req.json())) {
      blocks.delete(block.hash);
      blocks.set(block.hash, block);
    }
    for (const blockHash of blocks.keys()) {
      if (blocks.size <= settings.blocks) break;
      blocks.delete(blockHash);
    }
    return context.json({ blocks: blocks.size });
  });
  app.get('/kv/export', async (context) => {
    const hashes = (context.req.query('hashes') ?? '').split(',');
    const found = hashes.map((blockHash) => blocks.get(blockHash)).filter((block) => block !== undefined);
    await systemClock.sleep(found.length * settings.kvBlockMs);
    return context.json({ events: runsOf(found).map((run) => storedEvent(settings.name, 0, run)) });
  });
  return listenHttp(app, settings.port);
}
