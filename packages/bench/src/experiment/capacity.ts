/**
 * Requests a second that count as 100 in 100: what a shape's engines can do with all slots in use, when the
 * hit rate is the goal, 95 in 100 of the oracle's.
 */
import type { Shape } from '../deployment/index.js';
import { replay } from '../oracle/index.js';
import { planWorkload } from '../workload/index.js';
import type { WorkloadOptions } from '../workload/index.js';

/** Cost model of each target. */
export interface TargetCost {
  readonly prefillRate: number;
  readonly stepMs: number;
  readonly slots: number;
  readonly cacheBlocks: number;
}

/** Hit rate to reach, over the oracle's. */
const HIT_GOAL = 0.95;
const SAMPLE_RATE = 60;
const SAMPLE_MS = 60_000;
/** Arrivals before this are left out: caches are still filling. */
const SETTLED_MS = 20_000;

/** Milliseconds of an engine for one request when all slots decode together, times targets. */
export function capacityOf(shape: Shape, workload: WorkloadOptions, cost: TargetCost): number {
  const sample = planWorkload(shape, {
    ...workload,
    rate: SAMPLE_RATE,
    durationMs: SAMPLE_MS,
    shiftsAtMs: [],
  });
  const rows = replay(sample, cost.cacheBlocks * shape.targets);
  const settled = sample
    .filter((planned) => planned.atMs >= SETTLED_MS)
    .map((planned) => rows.get(planned.id));
  const computed = settled.reduce(
    (sum, row) => sum + (row?.promptTokens ?? 0) - (row?.cachedTokens ?? 0) * HIT_GOAL,
    0,
  );
  const prefillMs = (computed / settled.length / cost.prefillRate) * 1_000;
  const decodeMs = (workload.outputTokens * cost.stepMs) / cost.slots;
  return (shape.targets * 1_000) / (prefillMs + decodeMs);
}
