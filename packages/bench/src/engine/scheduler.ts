/** Continuous batching: each step shares its time between chunks of prefill and one token for each decoding request. */
import type { Clock } from '@jasmineroute/core';
import { answerToken } from './answer.js';
import type { PrefixCache } from './cache.js';
import type { Generation } from './generation.js';
import { BLOCK_TOKENS } from './prompt.js';
import type { Tuning } from './settings.js';

/** Counts since the start of the engine. */
export interface SchedulerTotals {
  admitted: number;
  finished: number;
  cancelled: number;
  /** Prompt tokens that were computed. */
  computedTokens: number;
  /** Prompt tokens that came from the cache. */
  cachedTokens: number;
  outputTokens: number;
  steps: number;
}

/** Load at this moment. */
export interface SchedulerLoad {
  readonly running: number;
  readonly queued: number;
  readonly queuedTokens: number;
}

/** Told when a request is run for the first time, and at the end of each step. */
export interface SchedulerListener {
  admitted(generation: Generation): void;
  stepped(): void;
}

interface Share {
  readonly generation: Generation;
  readonly tokens: number;
}

/** Lateness of this process's own timers that later steps make up for, so that a busy machine is no slow engine. */
const CATCH_UP_MS = 100;

/** Smaller priority first, then first come. */
const runsBefore = (a: Generation, b: Generation): number =>
  a.prompt.priority - b.prompt.priority || a.order - b.order;

/** Runs the steps. */
export class Scheduler {
  readonly totals: SchedulerTotals = {
    admitted: 0,
    finished: 0,
    cancelled: 0,
    computedTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
    steps: 0,
  };
  private waiting: Generation[] = [];
  private running: Generation[] = [];
  private stopped = false;
  private wake: () => void = () => undefined;

  constructor(
    private readonly slots: number,
    private readonly cache: PrefixCache,
    private readonly tuning: Tuning,
    private readonly clock: Clock,
    private readonly listener: SchedulerListener,
  ) {}

  /** Load at this moment. */
  load(): SchedulerLoad {
    const unready = [...this.waiting, ...this.running];
    return {
      running: this.running.length,
      queued: this.waiting.length,
      queuedTokens: unready.reduce((sum, one) => sum + one.promptTokens - one.readyTokens, 0),
    };
  }

  /** Puts a request into the queue. */
  submit(generation: Generation): void {
    this.waiting.push(generation);
    this.waiting.sort(runsBefore);
    this.wake();
  }

  /** Stops a request wherever it is. */
  cancel(generation: Generation): void {
    if (generation.ended) return;
    this.totals.cancelled += 1;
    this.finish(generation, 'cancelled');
  }

  /** Ends the loop. */
  stop(): void {
    this.stopped = true;
    this.wake();
  }

  /** Runs until stopped. */
  async run(): Promise<void> {
    let due = this.clock.monotonic();
    while (!this.stopped) {
      this.admit();
      if (this.running.length === 0) {
        await this.idle();
        due = this.clock.monotonic();
        continue;
      }
      const shares = this.shareChunk();
      const decoding = this.running.filter((one) => one.stage === 'decode');
      due = Math.max(due, this.clock.monotonic() - CATCH_UP_MS) + this.duration(shares, decoding.length);
      await this.clock.sleep(due - this.clock.monotonic());
      this.complete(shares, decoding);
    }
  }

  private idle(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  private admit(): void {
    while (this.running.length < this.slots) {
      const next = this.waiting[0];
      if (next === undefined) return;
      if (!this.cache.reserve(next.chain)) return;
      this.waiting.shift();
      this.start(next);
    }
  }

  private start(generation: Generation): void {
    const held = this.cache.prefix(generation.chain);
    const usable = Math.min(held, Math.floor((generation.promptTokens - 1) / BLOCK_TOKENS));
    for (const block of generation.chain.slice(0, held)) this.cache.pin(block);
    generation.pinnedBlocks = held;
    generation.cachedTokens = Math.max(0, usable) * BLOCK_TOKENS;
    generation.readyTokens = generation.cachedTokens;
    generation.stage = 'prefill';
    this.running.push(generation);
    this.totals.admitted += 1;
    this.totals.cachedTokens += generation.cachedTokens;
    this.listener.admitted(generation);
  }

  private shareChunk(): Share[] {
    let budget = this.tuning.chunkTokens;
    const shares: Share[] = [];
    const unready = this.running.filter((one) => one.stage === 'prefill').sort(runsBefore);
    for (const generation of unready) {
      if (budget === 0) break;
      const tokens = Math.min(budget, generation.promptTokens - generation.readyTokens);
      shares.push({ generation, tokens });
      budget -= tokens;
    }
    return shares;
  }

  private duration(shares: readonly Share[], decoding: number): number {
    const tokens = shares.reduce((sum, share) => sum + share.tokens, 0);
    const prefillMs = (tokens / this.tuning.prefillRate) * 1_000;
    const decodeMs = decoding > 0 ? this.tuning.stepMs : 0;
    return (prefillMs + decodeMs) * this.tuning.slowFactor;
  }

  private complete(shares: readonly Share[], decoding: readonly Generation[]): void {
    this.totals.steps += 1;
    for (const generation of decoding) this.emit(generation);
    for (const share of shares) this.fill(share);
    this.listener.stepped();
  }

  private fill({ generation, tokens }: Share): void {
    this.totals.computedTokens += tokens;
    if (generation.ended) return;
    generation.readyTokens += tokens;
    const full = Math.floor(generation.readyTokens / BLOCK_TOKENS);
    this.storeBlocks(generation, full);
    if (generation.readyTokens < generation.promptTokens) return;
    generation.stage = 'decode';
    this.emit(generation);
  }

  private storeBlocks(generation: Generation, full: number): void {
    while (generation.pinnedBlocks < full) {
      const block = generation.chain[generation.pinnedBlocks];
      if (block === undefined || !this.cache.store(block)) return;
      this.cache.pin(block);
      generation.pinnedBlocks += 1;
    }
  }

  private emit(generation: Generation): void {
    if (generation.ended) return;
    const position = generation.firstPosition + generation.tokens.length;
    this.totals.outputTokens += 1;
    generation.append(answerToken(generation.tag, position));
    if (generation.tokens.length < generation.prompt.maxTokens) return;
    this.totals.finished += 1;
    this.finish(generation, 'done');
  }

  private finish(generation: Generation, stage: 'done' | 'cancelled'): void {
    if (this.running.includes(generation)) this.cache.release(generation.chain);
    for (const block of generation.chain.slice(0, generation.pinnedBlocks).reverse()) this.cache.unpin(block);
    generation.pinnedBlocks = 0;
    this.waiting = this.waiting.filter((one) => one !== generation);
    this.running = this.running.filter((one) => one !== generation);
    generation.end(stage, this.clock.monotonic());
  }
}
