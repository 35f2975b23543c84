/**
 * The product's own policy: asks a few targets and compares expected times, not ranks.
 *
 * The cost of a target is the expected time to first token there, plus the prefill that it would have to
 * recompute, weighted. The weight grows with the queues: recomputed work holds up every request that waits, so
 * that under load a policy that looks only at the one request in hand spends the caches of all.
 */
import type { Objective } from '@jasmineroute/document';
import { BLOCK_TOKENS, levelsOf } from '../prefix/index.js';
import { ASSUMED_PREFILL_RATE, prefillMs } from './estimate.js';
import { Flights } from './flights.js';
import { HomeCounts } from './homeCounts.js';
import { LoadBook } from './loadBook.js';
import type { Candidate, Choice, Job, Outcome, Policy, PolicyContext, ProbeReading } from './policy.js';
import { Popularity } from './popularity.js';
import { PrefixHints } from './prefixHints.js';
import { createRandom } from './random.js';
import { shortlistOf } from './shortlist.js';
import type { Shortlist, ShortlistParts } from './shortlist.js';
import { SlowStart } from './slowStart.js';
import { TargetHealth } from './targetHealth.js';

/** Weight of a millisecond of recomputed prefill beside one of waiting. */
export interface RecomputeWeight {
  /** With empty queues. */
  readonly base: number;
  /** More for each request that waits. */
  readonly perWaiting: number;
}

/**
 * Which waiting requests count: those at the very target, which the recomputed work would hold up, or the mean
 * of all targets asked.
 */
export type WaitingScope = 'target' | 'mean';

/** What tells one version of the policy from another. */
export interface WeighingOptions {
  readonly probes: number;
  readonly probesUnknown: number;
  readonly weights: Record<Objective, RecomputeWeight>;
  readonly waiting: WaitingScope;
  /** Queues longer than this weigh no more. */
  readonly mostWaiting: number;
  /** Part of the prompt's prefill that the first home is preferred by, so that entries agree on new prefixes. */
  readonly homePreference: number;
}

/** A target's answer, weighed. */
interface Offer {
  readonly candidate: Candidate;
  readonly reading: ProbeReading;
  /** Prompt tokens cached, or about to be by requests of this entry. */
  readonly reusedTokens: number;
  readonly estimateMs: number;
  /** Prefill at the target, milliseconds. */
  readonly recomputeMs: number;
}

/** One-way network time to another data centre, and within one, milliseconds. */
const FAR_MS = 1;
const NEAR_MS = 0.2;

/** Milliseconds added for a target that is suspected to be down, or as full as its warmth allows. */
const SUSPECT_MS = 500;
const WARMING_MS = 1_000;

/** Least size of a request, in tokens to prefill, when waiting tokens are turned into waiting requests. */
const LEAST_REQUEST_TOKENS = 64;

/** Weight of the newest request in the mean size. */
const NEWEST = 0.05;

/** An import of fewer blocks than this is not worth its request. */
const LEAST_IMPORT_BLOCKS = 16;

/** What was decided for a job, until it has ended. */
interface Decision {
  readonly estimates: ReadonlyMap<string, number>;
  readonly prefills: ReadonlyMap<string, number>;
}

/** Weighs the offers of a few targets. */
export class Weighing implements Policy {
  private readonly flights = new Flights();
  private readonly health: TargetHealth;
  private readonly slowStart: SlowStart;
  private readonly parts: ShortlistParts;
  private readonly decisions = new WeakMap<Job, Decision>();
  /** Mean tokens that a request leaves to prefill. */
  private requestTokens = 0;

  constructor(
    private readonly context: PolicyContext,
    private readonly options: WeighingOptions,
  ) {
    const { clock, seed } = context;
    this.health = new TargetHealth(clock);
    this.slowStart = new SlowStart(clock);
    this.parts = {
      hints: new PrefixHints(),
      popularity: new Popularity(clock),
      homeCounts: new HomeCounts(clock),
      loadBook: new LoadBook(clock),
      random: createRandom(seed),
      probes: options.probes,
      probesUnknown: options.probesUnknown,
    };
  }

  async choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const shortlist = this.prepare(job, candidates);
    const askedAt = this.context.clock.monotonic();
    const offers = await Promise.all(
      shortlist.candidates.map((candidate) => this.ask(candidate, job, askedAt)),
    );
    return this.decide(
      job,
      shortlist,
      offers.filter((offer) => offer !== undefined),
    );
  }

  dispatched(candidate: Candidate, job: Job): void {
    const prefill = this.decisions.get(job)?.prefills.get(candidate.name) ?? 0;
    this.flights.add(candidate, { job, sentAt: this.context.clock.monotonic(), prefillMs: prefill });
    this.parts.hints.record(levelsOf(job.chain), candidate.name);
  }

  settled(outcome: Outcome): void {
    const { candidate, job, load, firstTokenMs } = outcome;
    if (load !== undefined) this.parts.loadBook.record(candidate, load);
    if (outcome.phase === 'first-token') return;
    this.flights.remove(candidate, job);
    const estimate = this.decisions.get(job)?.estimates.get(candidate.name);
    if (firstTokenMs !== undefined && estimate !== undefined) {
      this.health.measured(candidate, firstTokenMs, estimate);
    }
    if (!outcome.ok && firstTokenMs === undefined) this.health.failed(candidate);
  }

  private prepare(job: Job, candidates: readonly Candidate[]): Shortlist {
    this.slowStart.see(candidates, (candidate) => {
      this.health.forget(candidate);
    });
    this.parts.loadBook.keep(candidates);
    this.parts.popularity.record(levelsOf(job.chain).map((level) => level.key));
    return shortlistOf(this.parts, job.chain, candidates);
  }

  private async ask(candidate: Candidate, job: Job, askedAt: number): Promise<Offer | undefined> {
    const reading = await this.context.probe(candidate, job);
    if (reading?.accepting !== true) return undefined;
    this.parts.loadBook.record(candidate, reading.load);
    return this.offer(candidate, job, reading, askedAt);
  }

  private offer(candidate: Candidate, job: Job, reading: ProbeReading, askedAt: number): Offer {
    const { load, cachedTokens } = reading;
    const pending = this.flights.pendingBlocks(candidate, job.chain) * BLOCK_TOKENS;
    const reusedTokens = Math.max(cachedTokens, Math.min(pending, job.promptTokens));
    const saved = prefillMs(load, reusedTokens - cachedTokens);
    const told = reading.estimateMs + unmeasuredMs(reading, job) - saved;
    const sent = this.flights.sentSince(candidate, askedAt);
    const network = candidate.dataCentre === this.context.dataCentre ? 2 * NEAR_MS : 2 * FAR_MS;
    const estimateMs = Math.max(0, told + sent) * this.health.factor(candidate) + network;
    return {
      candidate,
      reading,
      reusedTokens,
      estimateMs,
      recomputeMs: prefillMs(load, job.promptTokens - reusedTokens),
    };
  }

  private decide(job: Job, shortlist: Shortlist, offers: readonly Offer[]): Choice {
    const costs = this.costs(job, shortlist, offers);
    const ranked = [...offers].sort((a, b) => (costs.get(a) ?? 0) - (costs.get(b) ?? 0));
    const best = ranked[0];
    this.remember(job, offers, best);
    const order = ranked.map((offer) => offer.candidate);
    const silent = shortlist.candidates.filter((candidate) => !order.includes(candidate));
    return {
      order: [...order, ...silent],
      estimateMs: best?.estimateMs,
      importFrom: this.donor(best, offers),
    };
  }

  private costs(job: Job, shortlist: Shortlist, offers: readonly Offer[]): Map<Offer, number> {
    const waiting = offers.map((offer) => this.waitingAt(offer));
    const mean = waiting.reduce((sum, count) => sum + count, 0) / Math.max(1, offers.length);
    const { base, perWaiting } = this.options.weights[job.objective];
    const costs = new Map<Offer, number>();
    offers.forEach((offer, place) => {
      const counted = this.options.waiting === 'mean' ? mean : (waiting[place] ?? 0);
      const weight = base + perWaiting * Math.min(this.options.mostWaiting, counted);
      costs.set(offer, this.cost(offer, job, shortlist.home, weight));
    });
    return costs;
  }

  private cost(offer: Offer, job: Job, home: Candidate | undefined, weight: number): number {
    const { candidate, reading } = offer;
    let cost = offer.estimateMs + weight * offer.recomputeMs + this.health.penaltyMs(candidate);
    if (candidate === home) cost -= this.options.homePreference * prefillMs(reading.load, job.promptTokens);
    if (candidate.suspect) cost += SUSPECT_MS;
    if (this.slowStart.full(candidate, reading.load)) cost += WARMING_MS;
    return cost;
  }

  /** Requests that wait for their first token at a target, from its waiting tokens. */
  private waitingAt(offer: Offer): number {
    return offer.reading.load.queuedTokens / Math.max(LEAST_REQUEST_TOKENS, this.requestTokens);
  }

  private remember(job: Job, offers: readonly Offer[], best: Offer | undefined): void {
    this.decisions.set(job, {
      estimates: new Map(offers.map((offer) => [offer.candidate.name, offer.estimateMs])),
      prefills: new Map(offers.map((offer) => [offer.candidate.name, offer.recomputeMs])),
    });
    if (best === undefined) return;
    const tokens = job.promptTokens - best.reusedTokens;
    this.requestTokens =
      this.requestTokens === 0 ? tokens : this.requestTokens + NEWEST * (tokens - this.requestTokens);
  }

  /** The target with the longest cached prefix, when importing from it is quicker than computing. */
  private donor(best: Offer | undefined, offers: readonly Offer[]): string | undefined {
    const { importBlockMs } = this.context;
    if (best === undefined || importBlockMs === undefined) return undefined;
    let donor = best;
    for (const offer of offers) if (offer.reading.cachedTokens > donor.reading.cachedTokens) donor = offer;
    const tokens = donor.reading.cachedTokens - best.reusedTokens;
    const blocks = tokens / BLOCK_TOKENS;
    if (blocks < LEAST_IMPORT_BLOCKS) return undefined;
    return blocks * importBlockMs < prefillMs(best.reading.load, tokens) ? donor.candidate.name : undefined;
  }
}

/** Prefill that an agent which has not measured its engine's speed leaves out of its estimate. */
function unmeasuredMs(reading: ProbeReading, job: Job): number {
  if (reading.load.prefillRate > 0) return 0;
  const tokens = reading.load.aheadTokens + job.promptTokens - reading.cachedTokens;
  return (tokens * 1_000) / ASSUMED_PREFILL_RATE;
}
