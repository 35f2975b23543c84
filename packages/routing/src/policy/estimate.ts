/** Expected time to first token at a target. */
import type { Load } from './policy.js';

/** Prefill speed assumed until it has been measured, tokens per second. */
export const ASSUMED_PREFILL_RATE = 8_000;

/** Time between output tokens assumed until it has been measured, milliseconds. */
export const ASSUMED_TOKEN_MS = 30;

/** Remaining output tokens assumed for each running request when all slots are busy. */
const REMAINING_TOKENS = 100;

/** Inputs of the estimate of the time to first token. */
export interface FirstTokenInputs {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly load: Load;
  /** Prompt tokens that this entry has sent to the target since its load was read. */
  readonly sentTokens: number;
  /** One-way network latency, milliseconds. */
  readonly oneWayMs: number;
}

/** Prefill speed of a target, tokens per second. */
export function prefillRate(load: Load): number {
  return load.prefillRate > 0 ? load.prefillRate : ASSUMED_PREFILL_RATE;
}

/** Expected milliseconds until a slot is free; 0 while the engine has a free one. */
export function slotWaitMs(load: Load): number {
  const ahead = load.running + load.queued - load.capacity;
  if (load.capacity <= 0 || ahead < 0) return 0;
  const tokenMs = load.tokenMs > 0 ? load.tokenMs : ASSUMED_TOKEN_MS;
  return ((ahead + 1) * REMAINING_TOKENS * tokenMs) / load.capacity;
}

/** Milliseconds to prefill `tokens` prompt tokens. */
export function prefillMs(load: Load, tokens: number): number {
  return (Math.max(0, tokens) * 1_000) / prefillRate(load);
}

/** Expected milliseconds from dispatch to the first token. */
export function firstTokenMs(prefill: FirstTokenInputs): number {
  const uncached = prefill.promptTokens - prefill.cachedTokens;
  const ahead = prefill.load.aheadTokens + prefill.sentTokens;
  return 2 * prefill.oneWayMs + slotWaitMs(prefill.load) + prefillMs(prefill.load, ahead + uncached);
}
