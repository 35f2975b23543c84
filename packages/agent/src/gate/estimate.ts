/** How long a request would wait for its first token here. */
import type { LoadMeter, Slots } from '../load/index.js';

/** What the estimate is made of. */
export interface EstimateInput {
  readonly meter: LoadMeter;
  readonly slots: Slots;
  readonly capacity: number;
  readonly priority: number;
  /** Prompt tokens of the request that are not cached. */
  readonly uncachedTokens: number;
}

/** Milliseconds to the first token; what has not been measured yet counts as nothing. */
export function estimateMs(input: EstimateInput): number {
  const { meter, slots, capacity, priority, uncachedTokens } = input;
  const prefill = meter.prefillRate;
  const prefillMs = prefill === 0 ? 0 : ((meter.ahead(priority) + uncachedTokens) * 1_000) / prefill;
  const over = slots.running + slots.queued + 1 - capacity;
  const slotMs = over <= 0 ? 0 : (over * meter.runMs) / Math.max(1, capacity);
  return prefillMs + slotMs;
}
