/**
 * What it costs to take an offer, in milliseconds: the expected time to first token, plus the prefill that would
 * be recomputed, weighted. The weight grows with the queues: recomputed work holds up every request that waits,
 * so that under load a policy that looks only at the one request in hand spends the caches of all.
 */
import type { Objective } from '@jasmineroute/document';
import { prefillMs } from './estimate.js';
import type { Offer } from './offers.js';
import type { Candidate, Job } from './policy.js';
import type { SlowStart } from './slowStart.js';
import type { TargetHealth } from './targetHealth.js';

/** Weight of a millisecond of recomputed prefill beside one of waiting. */
export interface RecomputeWeight {
  /** With empty queues. */
  readonly base: number;
  /** More for each request that waits, on average over the targets asked. */
  readonly perWaiting: number;
  /** More for each request that waits at the very target. */
  readonly perWaitingThere: number;
}

/** How costs are weighed. */
export interface CostOptions {
  readonly weights: Record<Objective, RecomputeWeight>;
  /** Queues longer than this, on average over the targets asked, weigh no more. */
  readonly mostWaiting: number;
  /** Part of the prompt's prefill that the first home is preferred by, so that entries agree on new prefixes. */
  readonly homePreference: number;
}

/** Milliseconds added for a target that is suspected to be down, or as full as its warmth allows. */
const SUSPECT_MS = 500;
const WARMING_MS = 1_000;

/** Least size of a request, in tokens to prefill, when waiting tokens are turned into waiting requests. */
const LEAST_REQUEST_TOKENS = 64;

/** A request leaves up to this many times the mean size to compute, and a little. */
const USUAL_PART = 1.25;

/** Weight of the newest request in the mean size. */
const NEWEST = 0.05;

/** Ranks offers. */
export class Costs {
  /** Mean tokens that a request leaves to prefill. */
  private requestTokens = 0;

  constructor(
    private readonly options: CostOptions,
    private readonly health: TargetHealth,
    private readonly slowStart: SlowStart,
  ) {}

  /** Offers, cheapest first. @param home first home of the prompt's prefix. */
  rank(job: Job, home: Candidate | undefined, offers: readonly Offer[]): Offer[] {
    const { base, perWaiting, perWaitingThere } = this.options.weights[job.objective];
    const waiting = offers.map((offer) => this.waitingAt(offer));
    const mean = waiting.reduce((sum, count) => sum + count, 0) / Math.max(1, offers.length);
    const common = base + perWaiting * Math.min(this.options.mostWaiting, mean);
    const costs = new Map<Offer, number>();
    offers.forEach((offer, place) => {
      const weight = common + perWaitingThere * (waiting[place] ?? 0);
      costs.set(offer, this.cost(offer, job, home, weight));
    });
    return [...offers].sort((a, b) => (costs.get(a) ?? 0) - (costs.get(b) ?? 0));
  }

  /** An offer was taken. */
  taken(job: Job, offer: Offer): void {
    const tokens = job.promptTokens - offer.reusedTokens;
    const before = this.requestTokens === 0 ? tokens : this.requestTokens;
    this.requestTokens = before + NEWEST * (tokens - before);
  }

  /** Whether an offer leaves hardly more to compute than requests do on average. */
  isUsual(job: Job, offer: Offer): boolean {
    return job.promptTokens - offer.likelyTokens <= USUAL_PART * this.requestTokens + LEAST_REQUEST_TOKENS;
  }

  private cost(offer: Offer, job: Job, home: Candidate | undefined, weight: number): number {
    const { candidate, load } = offer;
    const expectedMs = Math.max(0, offer.estimateMs - offer.spareMs);
    let cost = expectedMs + weight * offer.recomputeMs + this.health.penaltyMs(candidate);
    if (candidate === home) cost -= this.options.homePreference * prefillMs(load, job.promptTokens);
    if (candidate.suspect) cost += SUSPECT_MS;
    if (this.slowStart.full(candidate, load)) cost += WARMING_MS;
    return cost;
  }

  /** Requests that wait for their first token at a target, from its waiting tokens. */
  private waitingAt(offer: Offer): number {
    return offer.load.queuedTokens / Math.max(LEAST_REQUEST_TOKENS, this.requestTokens);
  }
}
