/**
 * Work at one target, as the gate beside it sees it: exact and without a lag, for every request to the target
 * passes there. Gives the load, the cached prefix and the expected time to first token that probes ask for.
 */
import type { Clock } from '@jasmineroute/core';
import type { BlockIndex } from '../blockIndex/index.js';
import type { Load, ProbeReading } from '../policy/index.js';
import { ASSUMED_PREFILL_RATE, ASSUMED_TOKEN_MS } from '../policy/index.js';
import { BLOCK_TOKENS, sharedBlocks } from '../prefix/index.js';
import type { Chain } from '../prefix/index.js';
import { MovingMean, PrefillRate } from './prefillRate.js';

/** A request at the gate. */
export interface Work {
  readonly attemptId: string;
  readonly chain: Chain;
  readonly promptTokens: number;
  /** Larger runs first. */
  readonly priority: number;
}

/** What is asked about a prompt. */
export interface Question {
  readonly chain: Chain;
  readonly promptTokens: number;
  readonly priority: number;
}

/** What a ledger is made with. */
export interface TargetLedgerOptions {
  readonly clock: Clock;
  readonly index: BlockIndex;
  /** Requests that the engine runs at once; read for each answer. */
  readonly capacity: () => number;
}

interface Entry {
  readonly work: Work;
  readonly enteredAt: number;
  /** Prompt tokens that the engine has to compute. */
  readonly uncachedTokens: number;
  firstTokenAt?: number;
  readonly waiters: (() => void)[];
}

/** Blocks that a prompt must share with one under way, beyond the cached ones, to wait for it. */
const LEAST_SHARED_BLOCKS = 8;

/** Output tokens that a running request is taken to have until some have been counted. */
const ASSUMED_OUTPUT_TOKENS = 100;

/** Requests at one target. Bounded by what the gate lets in. */
export class TargetLedger {
  private readonly entries = new Map<string, Entry>();
  private readonly prefill = new PrefillRate();
  private readonly tokenMs = new MovingMean();
  private readonly holdMs = new MovingMean();
  private lastFirstToken = 0;

  constructor(private readonly options: TargetLedgerOptions) {}

  /** A request is let in. */
  enter(work: Work): void {
    const cached = Math.max(this.cachedBlocks(work.chain), this.pendingBlocks(work.chain));
    this.entries.set(work.attemptId, {
      work,
      enteredAt: this.options.clock.monotonic(),
      uncachedTokens: Math.max(0, work.promptTokens - cached * BLOCK_TOKENS),
      waiters: [],
    });
  }

  /**
   * Resolves when no earlier request is about to compute blocks that this one needs too.
   *
   * What goes wrong: many requests with one new prefix arrive together, the engine starts them all, finds the
   * prefix of none in its cache, and computes it for each. Recomputed tokens show it. Here the first goes on
   * and the others wait for its first token, which they would spend in the engine's queue anyway. A request of
   * higher priority does not wait for one of lower.
   */
  async prefillTurn(attemptId: string, signal: AbortSignal): Promise<void> {
    const entry = this.entries.get(attemptId);
    if (entry === undefined) return;
    for (;;) {
      const leader = this.leaderOf(entry);
      if (leader === undefined || signal.aborted) return;
      await waitFor(leader, signal);
    }
  }

  /** The target gave the first token. @param cachedTokens prompt tokens from its cache, where it says so. */
  firstToken(attemptId: string, cachedTokens?: number): void {
    const entry = this.entries.get(attemptId);
    if (entry?.firstTokenAt !== undefined || entry === undefined) return;
    const now = this.options.clock.monotonic();
    const began = Math.max(entry.enteredAt, this.lastFirstToken);
    const uncached =
      cachedTokens === undefined ? entry.uncachedTokens : entry.work.promptTokens - cachedTokens;
    this.prefill.add(uncached, now - began);
    this.lastFirstToken = now;
    entry.firstTokenAt = now;
    release(entry);
  }

  /** The request has ended. @param answer counts of the answer, where it came to its end. */
  leave(attemptId: string, answer?: { readonly outputTokens: number; readonly cachedTokens: number }): void {
    const entry = this.entries.get(attemptId);
    if (entry === undefined) return;
    this.entries.delete(attemptId);
    release(entry);
    if (answer === undefined) return;
    const now = this.options.clock.monotonic();
    this.holdMs.add(now - (entry.firstTokenAt ?? entry.enteredAt));
    this.options.index.confirm(entry.work.chain, Math.floor(answer.cachedTokens / BLOCK_TOKENS));
    if (entry.firstTokenAt === undefined || answer.outputTokens < 2) return;
    this.tokenMs.add((now - entry.firstTokenAt) / (answer.outputTokens - 1));
  }

  /** Load as the asked priority meets it. */
  load(priority: number): Load {
    let running = 0;
    let queuedTokens = 0;
    let aheadTokens = 0;
    for (const entry of this.entries.values()) {
      if (entry.firstTokenAt !== undefined) {
        running += 1;
        continue;
      }
      queuedTokens += entry.uncachedTokens;
      if (entry.work.priority >= priority) aheadTokens += entry.uncachedTokens;
    }
    return {
      running,
      queued: this.entries.size - running,
      queuedTokens,
      aheadTokens,
      prefillRate: this.prefill.value,
      tokenMs: this.tokenMs.value,
      capacity: this.options.capacity(),
    };
  }

  /** Cached prefix, load and expected time to first token for a prompt. */
  read(question: Question): Pick<ProbeReading, 'cachedTokens' | 'load' | 'estimateMs'> {
    const load = this.load(question.priority);
    const cached = this.cachedBlocks(question.chain);
    const reused = Math.max(cached, this.pendingBlocks(question.chain));
    const uncached = Math.max(0, question.promptTokens - reused * BLOCK_TOKENS);
    return {
      cachedTokens: Math.min(question.promptTokens, cached * BLOCK_TOKENS),
      load,
      estimateMs: this.slotWaitMs(load) + this.prefillMs(load.aheadTokens + uncached),
    };
  }

  /** Milliseconds until a place is free, when the engine runs as many requests as it can. */
  private slotWaitMs(load: Load): number {
    const ahead = load.running + load.queued - load.capacity;
    if (load.capacity <= 0 || ahead < 0) return 0;
    const assumed = ASSUMED_OUTPUT_TOKENS * (this.tokenMs.value || ASSUMED_TOKEN_MS);
    return ((ahead + 1) * (this.holdMs.value || assumed)) / load.capacity;
  }

  private prefillMs(tokens: number): number {
    return (tokens * 1_000) / (this.prefill.value || ASSUMED_PREFILL_RATE);
  }

  private cachedBlocks(chain: Chain): number {
    return this.options.index.longestPrefix(chain);
  }

  /** Blocks that requests under way are about to compute. */
  private pendingBlocks(chain: Chain): number {
    let blocks = 0;
    for (const entry of this.entries.values()) {
      if (entry.firstTokenAt !== undefined) continue;
      blocks = Math.max(blocks, sharedBlocks(entry.work.chain, chain));
    }
    return blocks;
  }

  private leaderOf(entry: Entry): Entry | undefined {
    const needed = this.cachedBlocks(entry.work.chain) + LEAST_SHARED_BLOCKS;
    for (const other of this.entries.values()) {
      if (other === entry) return undefined;
      if (other.firstTokenAt !== undefined || other.work.priority < entry.work.priority) continue;
      if (sharedBlocks(other.work.chain, entry.work.chain) >= needed) return other;
    }
    return undefined;
  }
}

function release(entry: Entry): void {
  for (const waiter of entry.waiters.splice(0)) waiter();
}

function waitFor(leader: Entry, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    leader.waiters.push(resolve);
    signal.addEventListener(
      'abort',
      () => {
        resolve();
      },
      { once: true },
    );
  });
}
