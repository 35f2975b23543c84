/** The engine stand-in without its HTTP face: scheduler, cache, events, inventory and streams together. */
import { randomBytes } from 'node:crypto';
import type { Clock } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fetch } from 'undici';
import { Random } from '../random/index.js';
import { answerStart } from './answer.js';
import { blocksOf, PrefixCache } from './cache.js';
import type { Block } from './cache.js';
import { ExecutionLedger } from './executions.js';
import { CacheFeed, runsOf, storedEvent } from './feed.js';
import { Generation } from './generation.js';
import { Inventory } from './inventory.js';
import type { OrderRefusal } from './inventory.js';
import { blocksOfExport } from './kvExport.js';
import { BYTES_PER_TOKEN, tokenBytes } from './prompt.js';
import type { Prompt } from './prompt.js';
import { Scheduler } from './scheduler.js';
import type { SchedulerLoad } from './scheduler.js';
import { tuningOf } from './settings.js';
import type { EngineSettings, Tuning } from './settings.js';

/** Why a request was not taken. */
export interface SubmitRefusal {
  readonly status: 400 | 404 | 503;
  readonly message: string;
}

const SWEEP_MS = 250;

/** One engine. A new one has a new incarnation and an empty cache. */
export class EngineStandIn {
  readonly incarnation = `${Date.now().toString(36)}-${randomBytes(4).toString('hex')}`;
  readonly tuning: Tuning;
  readonly executions: ExecutionLedger;
  readonly inventory: Inventory;
  readonly feed: CacheFeed;
  readonly scheduler: Scheduler;
  private readonly cache: PrefixCache;
  private readonly generations = new Map<string, Generation>();
  private readonly unsent: Block[] = [];
  private reported: SchedulerLoad;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private order = 0;
  private stopSweep: () => void = () => undefined;

  constructor(
    readonly settings: EngineSettings,
    readonly clock: Clock,
  ) {
    this.tuning = tuningOf(settings);
    this.executions = new ExecutionLedger(settings.executions);
    this.feed = new CacheFeed(this.incarnation, this.tuning, new Random(settings.seed), clock);
    this.cache = new PrefixCache(settings.cacheBlocks, {
      stored: (block) => {
        this.feed.stored(block);
        if (settings.kvStore !== '') this.unsent.push(block);
      },
      removed: (hashes) => {
        this.feed.removed(hashes);
      },
    });
    this.inventory = new Inventory(
      settings,
      this.tuning,
      (name, version) => this.fetchWeights(name, version),
      (model, version, adapter) => {
        this.dropCache(model, version, adapter);
      },
    );
    this.scheduler = new Scheduler(settings.slots, this.cache, this.tuning, clock, {
      admitted: (generation) => {
        this.executions.record(generation.id, generation.prompt.nonce, clock.now());
      },
      stepped: () => {
        this.feed.flush();
        this.publishBlocks();
      },
    });
    this.reported = this.scheduler.load();
  }

  /** Starts the loops. */
  start(): void {
    void this.scheduler.run();
    this.sweep();
  }

  /** Ends the loops. */
  stop(): void {
    this.scheduler.stop();
    this.stopSweep();
  }

  /** Takes a request into the queue. */
  submit(id: string, prompt: Prompt): Result<Generation, SubmitRefusal> {
    const version = this.inventory.versionFor(prompt.model, prompt.adapter);
    if (version === undefined) return err({ status: 404, message: `model ${prompt.model} is not loaded` });
    if (this.scheduler.load().queued >= this.settings.queue)
      return err({ status: 503, message: 'queue full' });
    const bytes = tokenBytes(prompt.text);
    const { salt, model, adapter } = prompt;
    const chain = blocksOf(bytes, { salt, model, adapter, version });
    if (chain.length > this.settings.cacheBlocks) return err({ status: 400, message: 'prompt too long' });
    const { tag, position } = answerStart(prompt.text);
    const tokens = bytes.length / BYTES_PER_TOKEN;
    this.order += 1;
    const generation = new Generation(id, this.order, prompt, version, tokens, chain, tag, position);
    this.generations.set(id, generation);
    this.scheduler.submit(generation);
    return ok(generation);
  }

  /** A request that runs, or that ended a short time ago. */
  find(id: string): Generation | undefined {
    return this.generations.get(id);
  }

  /** Cancels by id. */
  abort(id: string): 'unknown' | 'cancelled' | 'done' {
    const generation = this.generations.get(id);
    if (generation === undefined) return 'unknown';
    if (generation.stage === 'done') return 'done';
    this.scheduler.cancel(generation);
    return 'cancelled';
  }

  /** Load as it was up to the lag ago. */
  reportedLoad(): SchedulerLoad {
    const now = this.clock.monotonic();
    if (now - this.reportedAt >= this.settings.loadLagMs) {
      this.reported = this.scheduler.load();
      this.reportedAt = now;
    }
    return this.reported;
  }

  /** The whole cache as stored events. */
  snapshot(): { incarnation: string; sequence: number; events: object[] } {
    const sequence = this.feed.newest;
    const runs = runsOf(this.cache.all());
    const events = runs.map((run) => storedEvent(this.incarnation, sequence, run));
    return { incarnation: this.incarnation, sequence, events };
  }

  /** Those of the asked blocks that are held, after the time that copying them takes. */
  async exportBlocks(hashes: readonly string[]): Promise<object> {
    const blocks = hashes
      .map((blockHash) => this.cache.find(blockHash))
      .filter((block) => block !== undefined);
    await this.clock.sleep(blocks.length * this.settings.kvBlockMs * this.tuning.slowFactor);
    return { events: runsOf(blocks).map((run) => storedEvent(this.incarnation, 0, run)) };
  }

  /** Copies blocks from another engine or a store. @returns how many are held now. */
  async importBlocks(from: string, hashes: readonly string[]): Promise<number> {
    const answer = await fetch(`${from}/kv/export?hashes=${hashes.join(',')}`);
    if (!answer.ok) throw new Error(`export answered ${answer.status}`);
    const blocks = blocksOfExport(await answer.json());
    await this.clock.sleep(blocks.length * this.settings.kvBlockMs * this.tuning.slowFactor);
    const stored = blocks.filter((block) => this.cache.store(block));
    this.feed.flush();
    return stored.length;
  }

  /** Figures for reports. */
  stats(): object {
    return {
      name: this.settings.name,
      incarnation: this.incarnation,
      ...this.scheduler.totals,
      ...this.scheduler.load(),
      cacheBlocks: this.cache.size,
      tuning: this.tuning,
    };
  }

  private dropCache(model: string, version: string, adapter?: string): void {
    this.cache.drop(
      (namespace) =>
        namespace.model === model &&
        namespace.version === version &&
        (adapter === undefined || namespace.adapter === adapter),
    );
    this.feed.flush();
  }

  private async fetchWeights(name: string, version: string): Promise<Result<undefined, OrderRefusal>> {
    const { weightStore, loadMs } = this.settings;
    if (weightStore === '') {
      await this.clock.sleep(loadMs);
      return ok(undefined);
    }
    const answer = await fetch(`${weightStore}/weights/${encodeURIComponent(name)}/${version}`);
    await answer.arrayBuffer();
    if (answer.ok) return ok(undefined);
    return err({
      status: answer.status === 404 ? 404 : 503,
      message: `weight store answered ${answer.status}`,
    });
  }

  private publishBlocks(): void {
    if (this.unsent.length === 0) return;
    const blocks = this.unsent.splice(0);
    const events = runsOf(blocks).map((run) => storedEvent(this.incarnation, 0, run));
    const body = JSON.stringify({ events });
    fetch(`${this.settings.kvStore}/kv/put`, { method: 'POST', body })
      .then((answer) => answer.arrayBuffer())
      // The store is a help, not a need: what it misses is computed again.
      .catch(() => undefined);
  }

  /** Cancels work that nobody reads, forgets what ended long ago. */
  private sweep(): void {
    const now = this.clock.monotonic();
    for (const [id, generation] of this.generations) {
      const unread = generation.unreadSince;
      if (!generation.ended && unread !== undefined && now - unread > this.settings.resumeMs) {
        this.scheduler.cancel(generation);
      }
      if (generation.endedAt !== undefined && now - generation.endedAt > this.settings.keepMs) {
        this.generations.delete(id);
      }
    }
    this.stopSweep = this.clock.after(SWEEP_MS, () => {
      this.sweep();
    });
  }
}
