/** Expected time to first token at a target. */
import type { Load } from './policy.js';

/** Prefill speed that is taken until one has been measured, tokens a second. */
export const ASSUMED_PREFILL_RATE = 8_000;

/** Time between tokens that is taken until one has been measured, milliseconds. */
export const ASSUMED_TOKEN_MS = 30;

/** Output tokens that a running request is taken to have left when all slots are busy. */
const REMAINING_TOKENS = 100;

/** What an estimate is made of. */
export interface Prefill {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly load: Load;
  /** Prompt tokens that this entry has sent there since the load was read. */
  readonly sentTokens: number;
  /** One-way network time, milliseconds. */
  readonly distanceMs: number;
}

/** Prefill speed of a target, tokens a second. */
export function prefillRate(load: Load): number {
  return load.prefillRate > 0 ? load.prefillRate : ASSUMED_PREFILL_RATE;
}

/** Milliseconds until a slot is free, when the engine has as many requests as it runs at once. */
export function slotWaitMs(load: Load): number {
  const ahead = load.running + load.queued - load.capacity;
  if (load.capacity <= 0 || ahead < 0) return 0;
  const tokenMs = load.tokenMs > 0 ? load.tokenMs : ASSUMED_TOKEN_MS;
  return ((ahead + 1) * REMAINING_TOKENS * tokenMs) / load.capacity;
}

/** Milliseconds of prefill for `tokens` prompt tokens. */
export function prefillMs(load: Load, tokens: number): number {
  return (Math.max(0, tokens) * 1_000) / prefillRate(load);
}

/** Expected milliseconds from dispatch to the first token. */
export function firstTokenMs(prefill: Prefill): number {
  const uncached = prefill.promptTokens - prefill.cachedTokens;
  const ahead = prefill.load.aheadTokens + prefill.sentTokens;
  return 2 * prefill.distanceMs + slotWaitMs(prefill.load) + prefillMs(prefill.load, ahead + uncached);
}
