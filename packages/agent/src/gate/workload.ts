/** What waits and runs at the target, and what that means for the next request. */
import { create } from '@bufbuild/protobuf';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { gateMessage } from '@jasmineroute/protocol';
import { BLOCK_TOKENS, MAX_CONCURRENT_PREFILLS, PrefillTurns, decodeChain } from '@jasmineroute/routing';
import type { BlockIndex } from '@jasmineroute/routing';
import { LoadMeter, Slots } from '../load/index.js';
import type { GateTarget } from './target.js';

/** The part of a message that says what prompt comes at what priority. */
export type Prompted = Pick<gateMessage.RunRequest, 'chain' | 'promptTokens' | 'priority'>;

/** Queue, measured speeds and cache of one target. */
export class Workload {
  readonly slots: Slots;
  readonly meter: LoadMeter;
  readonly turns: PrefillTurns;

  /** @param queue how many requests may wait. */
  constructor(
    private readonly target: GateTarget,
    private readonly index: BlockIndex,
    queue: number,
    clock: Clock,
  ) {
    this.slots = new Slots(
      () => target.capacity(),
      () => queue,
    );
    this.meter = new LoadMeter(clock);
    this.turns = new PrefillTurns({
      clock,
      cachedBlocks: (chain) => index.likelyPrefix(chain),
      maxConcurrent: MAX_CONCURRENT_PREFILLS,
    });
  }

  /** Load as messages carry it. */
  load(priority: number): gateMessage.Load {
    return create(gateMessage.LoadSchema, {
      running: this.slots.running,
      queued: this.slots.queued,
      queuedTokens: this.meter.ahead(Number.NEGATIVE_INFINITY),
      aheadTokens: this.meter.ahead(priority),
      prefillRate: this.meter.prefillRate,
      tokenMs: this.meter.tokenMs,
      capacity: this.target.capacity(),
    });
  }

  /** Tokens at the start of a prompt that are vouched to be in the target's cache. */
  cachedTokens({ chain, promptTokens }: Prompted): number {
    return Math.min(promptTokens, this.index.longestPrefix(decodeChain(chain)) * BLOCK_TOKENS);
  }

  /** With blocks that a lost cache event may have removed: fit to compare targets, not to promise a time. */
  likelyTokens({ chain, promptTokens }: Prompted): number {
    return Math.min(promptTokens, this.index.likelyPrefix(decodeChain(chain)) * BLOCK_TOKENS);
  }

  /**
   * Expected milliseconds to the first token, for probes. No less than others of the priority have waited by
   * now: when requests of higher priority keep coming, the queue at this moment says too little.
   */
  expectedMs(request: Prompted, cachedTokens: number): number {
    const waitedMs = this.meter.waitedMs(request.priority);
    const ownMs = this.prefillMs(request.promptTokens - cachedTokens);
    return Math.max(this.estimateMs(request, cachedTokens), waitedMs + ownMs);
  }

  /** Milliseconds of prefill for a number of tokens; 0 while the speed is not known. */
  prefillMs(tokens: number): number {
    const { prefillRate } = this.meter;
    return prefillRate === 0 ? 0 : (tokens * 1_000) / prefillRate;
  }

  /** Milliseconds to the first token; what has not been measured yet counts as nothing. */
  estimateMs({ priority, promptTokens }: Prompted, cachedTokens: number): number {
    const { meter, slots } = this;
    const capacity = Math.max(1, this.target.capacity());
    const tokens = meter.ahead(priority) + promptTokens - cachedTokens;
    const over = slots.running + slots.queued + 1 - capacity;
    return this.prefillMs(tokens) + Math.max(0, (over * meter.runMs) / capacity);
  }

  /**
   * Refuses what could not get its first token in time: waiting for nothing would only take others' places.
   * Blocks that a lost cache event may have removed count as cached here: a refusal must not come of a guess.
   */
  checkDeadline(request: gateMessage.RunRequest): Fault | undefined {
    const estimate = this.estimateMs(request, this.likelyTokens(request));
    if (estimate <= request.deadlineMs) return undefined;
    const message = `the first token would take ${Math.round(estimate)} ms`;
    return fault('deadline-unmeetable', message, { retryAfterMs: estimate - request.deadlineMs });
  }
}
