/** Queued and in-flight requests of the target, and estimates for the next one. */
import { create } from '@bufbuild/protobuf';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { gateMessage } from '@jasmineroute/protocol';
import { BLOCK_TOKENS, MAX_CONCURRENT_PREFILLS, PrefillTurns, decodeChain } from '@jasmineroute/routing';
import type { BlockIndex } from '@jasmineroute/routing';
import { LoadMeter, Slots } from '../load/index.js';
import type { GateTarget } from './gateTarget.js';

/** Prompt and priority of a request. */
export type PromptInfo = Pick<gateMessage.RunRequest, 'chain' | 'promptTokens' | 'priority'>;

/** Queue, measured speed and cache state of one target. */
export class Workload {
  readonly slots: Slots;
  readonly meter: LoadMeter;
  readonly turns: PrefillTurns;

  /** @param queue most requests that may wait. */
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

  /** The load as sent in messages; `aheadTokens` counts requests of the priority or above. */
  load(priority: number): gateMessage.Load {
    return create(gateMessage.LoadSchema, {
      running: this.slots.running,
      queued: this.slots.queued,
      queuedTokens: this.meter.pendingTokens(Number.NEGATIVE_INFINITY),
      aheadTokens: this.meter.pendingTokens(priority),
      prefillRate: this.meter.prefillRate,
      tokenMs: this.meter.tokenMs,
      capacity: this.target.capacity(),
    });
  }

  /** Leading prompt tokens that are certain to be in the target's cache. */
  cachedTokens({ chain, promptTokens }: PromptInfo): number {
    return Math.min(promptTokens, this.index.longestPrefix(decodeChain(chain)) * BLOCK_TOKENS);
  }

  /**
   * As `cachedTokens`, but includes blocks that a lost cache event may have removed. Good enough to compare targets,
   * not to promise a time.
   */
  likelyTokens({ chain, promptTokens }: PromptInfo): number {
    return Math.min(promptTokens, this.index.likelyPrefix(decodeChain(chain)) * BLOCK_TOKENS);
  }

  /**
   * Expected milliseconds to the first token, for probes. At least as long as other requests of the priority have
   * already waited: while requests of higher priority keep arriving, the current queue underestimates the wait.
   */
  expectedMs(request: PromptInfo, cachedTokens: number): number {
    const waitedMs = this.meter.waitedMs(request.priority);
    const ownMs = this.prefillMs(request.promptTokens - cachedTokens);
    return Math.max(this.estimateMs(request, cachedTokens), waitedMs + ownMs);
  }

  /** Milliseconds of prefill for a number of tokens; 0 while the speed is unknown. */
  prefillMs(tokens: number): number {
    const { prefillRate } = this.meter;
    return prefillRate === 0 ? 0 : (tokens * 1_000) / prefillRate;
  }

  /** Estimated milliseconds to the first token; quantities that have not been measured yet count as 0. */
  estimateMs({ priority, promptTokens }: PromptInfo, cachedTokens: number): number {
    const { meter, slots } = this;
    const capacity = Math.max(1, this.target.capacity());
    const tokens = meter.pendingTokens(priority) + promptTokens - cachedTokens;
    const excess = slots.running + slots.queued + 1 - capacity;
    return this.prefillMs(tokens) + Math.max(0, (excess * meter.runMs) / capacity);
  }

  /**
   * Refuses a request that cannot get its first token before its deadline, as it would only take up a place in the
   * queue. Blocks that a lost cache event may have removed count as cached, so that uncertainty causes no refusal.
   */
  checkDeadline(request: gateMessage.RunRequest): Fault | undefined {
    const estimate = this.estimateMs(request, this.likelyTokens(request));
    if (estimate <= request.deadlineMs) return undefined;
    const message = `the first token is expected after ${Math.round(estimate)} ms, later than the deadline`;
    return fault('deadline-unmeetable', message, { retryAfterMs: estimate - request.deadlineMs });
  }
}
