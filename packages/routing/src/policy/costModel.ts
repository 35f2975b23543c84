/**
 * Cost of sending a request to a target, in milliseconds: the expected time to first token plus the weighted time
 * to recompute the uncached part of the prompt. The weight grows with the queues, because recomputation delays every
 * queued request: a policy that minimises only the latency of the current request wastes cached prefixes under load.
 */
import type { Objective } from '@jasmineroute/document';
import { prefillMs } from './estimate.js';
import type { TargetEstimate } from './targetEstimate.js';
import type { Candidate, Job } from './policy.js';
import type { SlowStart } from './slowStart.js';
import type { TargetHealth } from './targetHealth.js';

/** Weight of a millisecond of recomputation relative to a millisecond of waiting. */
export interface RecomputeWeight {
  /** Weight when the queues are empty. */
  readonly base: number;
  /** Added for each queued request, on average over the probed targets. */
  readonly perQueued: number;
  /** Added for each request queued at the target itself. */
  readonly perQueuedAtTarget: number;
}

/** Parameters of the cost model. */
export interface CostOptions {
  readonly weights: Record<Objective, RecomputeWeight>;
  /** Upper bound of the mean queue length that enters the weight. */
  readonly maxMeanQueued: number;
  /** Discount for the first home, as a fraction of the prompt's prefill, so that entries agree on new prefixes. */
  readonly homePreference: number;
}

/** Milliseconds added for a target that is suspected to be down, and for one that is at its warm-up limit. */
const SUSPECT_PENALTY_MS = 500;
const WARM_UP_PENALTY_MS = 1_000;

/** Minimum size of a request, in uncached tokens, when queued tokens are converted to queued requests. */
const MIN_REQUEST_TOKENS = 64;

/** A request of typical size has at most this many times the mean of uncached tokens, plus one minimum request. */
const TYPICAL_SIZE_FACTOR = 1.25;

/** Weight of the newest request in the moving average of uncached tokens. */
const NEWEST_WEIGHT = 0.05;

/** Ranks targets by cost. */
export class CostModel {
  /** Moving average of the uncached tokens of a request. */
  private meanUncachedTokens = 0;

  constructor(
    private readonly options: CostOptions,
    private readonly health: TargetHealth,
    private readonly slowStart: SlowStart,
  ) {}

  /** Sorts estimates by cost, lowest first. @param home first home of the prompt's prefix. */
  rank(job: Job, home: Candidate | undefined, estimates: readonly TargetEstimate[]): TargetEstimate[] {
    const { base, perQueued, perQueuedAtTarget } = this.options.weights[job.objective];
    const queued = estimates.map((estimate) => this.queuedAt(estimate));
    const meanQueued = queued.reduce((sum, count) => sum + count, 0) / Math.max(1, estimates.length);
    const sharedWeight = base + perQueued * Math.min(this.options.maxMeanQueued, meanQueued);
    const costs = new Map<TargetEstimate, number>();
    estimates.forEach((estimate, index) => {
      const weight = sharedWeight + perQueuedAtTarget * (queued[index] ?? 0);
      costs.set(estimate, this.cost(estimate, job, home, weight));
    });
    return [...estimates].sort((a, b) => (costs.get(a) ?? 0) - (costs.get(b) ?? 0));
  }

  /** Updates the mean request size with the chosen target. */
  recordChoice(job: Job, estimate: TargetEstimate): void {
    const tokens = job.promptTokens - estimate.reusedTokens;
    const before = this.meanUncachedTokens === 0 ? tokens : this.meanUncachedTokens;
    this.meanUncachedTokens = before + NEWEST_WEIGHT * (tokens - before);
  }

  /** Whether a request has about as many uncached tokens at a target as the average request. */
  isTypicalSize(job: Job, estimate: TargetEstimate): boolean {
    return (
      job.promptTokens - estimate.likelyTokens <=
      TYPICAL_SIZE_FACTOR * this.meanUncachedTokens + MIN_REQUEST_TOKENS
    );
  }

  private cost(estimate: TargetEstimate, job: Job, home: Candidate | undefined, weight: number): number {
    const { candidate, load } = estimate;
    const expectedMs = Math.max(0, estimate.estimateMs - estimate.likelySavingMs);
    let cost = expectedMs + weight * estimate.recomputeMs + this.health.penaltyMs(candidate);
    if (candidate === home) cost -= this.options.homePreference * prefillMs(load, job.promptTokens);
    if (candidate.suspect) cost += SUSPECT_PENALTY_MS;
    if (this.slowStart.isAtWarmUpLimit(candidate, load)) cost += WARM_UP_PENALTY_MS;
    return cost;
  }

  /** Number of requests queued for prefill at a target, derived from its queued tokens. */
  private queuedAt(estimate: TargetEstimate): number {
    return estimate.load.queuedTokens / Math.max(MIN_REQUEST_TOKENS, this.meanUncachedTokens);
  }
}
