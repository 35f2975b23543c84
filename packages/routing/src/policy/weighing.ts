/**
 * The product's own policy: asks a few targets and compares expected times, not ranks. The home of a prompt's
 * prefix is asked first; when it has the prefix and hardly a queue, the others are left in peace.
 */
import { BLOCK_TOKENS, levelsOf } from '../prefix/index.js';
import { Costs } from './costs.js';
import type { CostOptions } from './costs.js';
import { prefillMs } from './estimate.js';
import { Flights } from './flights.js';
import { HomeCounts } from './homeCounts.js';
import { LoadBook } from './loadBook.js';
import { heardOffer, rememberedOffer } from './offers.js';
import type { Offer, OfferSources } from './offers.js';
import type { Candidate, Choice, Job, Outcome, Policy, PolicyContext, ProbeReading } from './policy.js';
import { Popularity } from './popularity.js';
import { PrefixHints } from './prefixHints.js';
import { createRandom } from './random.js';
import { shortlistOf } from './shortlist.js';
import type { Shortlist, ShortlistParts } from './shortlist.js';
import { SlowStart } from './slowStart.js';
import { TargetHealth } from './targetHealth.js';

/** What tells one version of the policy from another. */
export interface WeighingOptions extends CostOptions {
  /** Targets asked at most. */
  readonly probes: number;
  /** The same for a prompt of which the entry knows no prefix. */
  readonly probesUnknown: number;
  /** Targets asked at first; the others only when these do not do. */
  readonly firstProbes: number;
  /** Whether blocks that a lost cache event may have removed count as cached when targets are compared. */
  readonly trustLikely: boolean;
  /** Whether targets that do not answer in time are weighed from memory; else they are left out. */
  readonly rememberSilent: boolean;
}

/** An import of fewer blocks than this is not worth its request. */
const LEAST_IMPORT_BLOCKS = 16;

/** A queue is short when it takes up to this part of the time to prefill the prompt, or this many milliseconds. */
const SHORT_PART = 0.1;
const SHORT_MS = 20;

/** What was decided for a job, until it has ended. By target. */
interface Decision {
  readonly estimates: ReadonlyMap<string, number>;
  readonly prefills: ReadonlyMap<string, number>;
}

/** A target's answer to a probe; without a reading none came in time. */
interface Answer {
  readonly candidate: Candidate;
  readonly reading: ProbeReading | undefined;
  readonly askedAt: number;
}

interface Reservation {
  readonly candidate: Candidate;
  readonly at: number;
}

/** Time in which a choice goes out, or is taken not to. */
const RESERVED_MS = 1_000;

/** Weighs the offers of a few targets. */
export class Weighing implements Policy {
  private readonly flights = new Flights();
  private readonly health: TargetHealth;
  private readonly slowStart: SlowStart;
  private readonly costs: Costs;
  private readonly parts: ShortlistParts;
  private readonly sources: OfferSources;
  private readonly decisions = new WeakMap<Job, Decision>();
  /** Choices that have not gone out yet, oldest first. */
  private readonly reserved = new Map<Job, Reservation>();

  constructor(
    private readonly context: PolicyContext,
    private readonly options: WeighingOptions,
  ) {
    const { clock, seed } = context;
    const { flights } = this;
    const hints = new PrefixHints();
    const loadBook = new LoadBook(clock);
    this.health = new TargetHealth(clock);
    this.slowStart = new SlowStart(clock);
    this.costs = new Costs(options, this.health, this.slowStart);
    this.parts = {
      hints,
      loadBook,
      popularity: new Popularity(clock),
      homeCounts: new HomeCounts(clock),
      random: createRandom(seed),
      probes: options.probes,
      probesUnknown: options.probesUnknown,
    };
    const { trustLikely } = options;
    this.sources = { context, flights, hints, loadBook, health: this.health, trustLikely };
  }

  async choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const shortlist = this.prepare(job, candidates);
    const { firstProbes } = this.options;
    const first = await this.askAll(shortlist.candidates.slice(0, firstProbes), job);
    const others = shortlist.candidates.slice(firstProbes);
    if (others.length === 0 || this.isEnough(job, shortlist, this.offers(job, first))) {
      return this.decide(job, shortlist, this.offers(job, first));
    }
    const more = await this.askAll(others, job);
    return this.decide(job, shortlist, this.offers(job, [...first, ...more]));
  }

  dispatched(candidate: Candidate, job: Job): void {
    this.withdraw(job);
    this.fly(candidate, job);
    this.parts.hints.record(levelsOf(job.chain), candidate.name);
  }

  settled(outcome: Outcome): void {
    const { candidate, job, load, firstTokenMs } = outcome;
    if (load !== undefined) this.parts.loadBook.record(candidate, load);
    if (outcome.phase === 'first-token') {
      this.flights.answered(candidate, job);
      return;
    }
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
    this.withdraw(job);
    this.withdrawOld();
    this.parts.loadBook.keep(candidates);
    this.parts.popularity.record(levelsOf(job.chain).map((level) => level.key));
    return shortlistOf(this.parts, job.chain, candidates);
  }

  private async askAll(candidates: readonly Candidate[], job: Job): Promise<Answer[]> {
    return Promise.all(candidates.map((candidate) => this.ask(candidate, job)));
  }

  private async ask(candidate: Candidate, job: Job): Promise<Answer> {
    const askedAt = this.context.clock.monotonic();
    const reading = await this.context.probe(candidate, job);
    if (reading === undefined) this.health.silent(candidate);
    else this.health.heard(candidate);
    if (reading?.accepting === true) this.parts.loadBook.record(candidate, reading.load);
    return { candidate, reading, askedAt };
  }

  /** Offers as they are now: with what has been sent since the answers came. */
  private offers(job: Job, answers: readonly Answer[]): Offer[] {
    const offers = answers.map(({ candidate, reading, askedAt }) => {
      if (reading?.accepting === true) return heardOffer(this.sources, candidate, job, reading, askedAt);
      const remembered = reading === undefined && this.options.rememberSilent;
      return remembered ? rememberedOffer(this.sources, candidate, job) : undefined;
    });
    return offers.filter((offer) => offer !== undefined);
  }

  /** Whether the best of the first answers leaves little to gain; or none came, and asking more makes it worse. */
  private isEnough(job: Job, shortlist: Shortlist, offers: readonly Offer[]): boolean {
    const best = this.costs.rank(job, shortlist.home, offers)[0];
    if (best === undefined) return false;
    if (!best.heard) return offers.every((offer) => !offer.heard);
    const wanted = Math.max(1, shortlist.sharedBlocks) * BLOCK_TOKENS;
    const queueMs = best.estimateMs - best.spareMs - best.recomputeMs;
    const short = Math.max(SHORT_MS, SHORT_PART * prefillMs(best.load, job.promptTokens));
    return best.likelyTokens >= wanted && this.costs.isUsual(job, best) && queueMs <= short;
  }

  private decide(job: Job, shortlist: Shortlist, offers: readonly Offer[]): Choice {
    const ranked = this.costs.rank(job, shortlist.home, offers);
    const best = ranked[0];
    this.decisions.set(job, {
      estimates: new Map(offers.map((offer) => [offer.candidate.name, offer.estimateMs])),
      prefills: new Map(offers.map((offer) => [offer.candidate.name, offer.recomputeMs])),
    });
    if (best !== undefined) this.reserve(job, best);
    const order = ranked.map((offer) => offer.candidate);
    const others = shortlist.candidates.filter((candidate) => !order.includes(candidate));
    return {
      order: [...order, ...others],
      estimateMs: best?.heard === true ? best.estimateMs : undefined,
      importFrom: this.donor(best, offers),
    };
  }

  /**
   * Counts a choice as sent until it is, so that the next decision knows of it: answers that arrive together are
   * decided upon before the first of their requests goes out.
   */
  private reserve(job: Job, offer: Offer): void {
    this.costs.taken(job, offer);
    this.fly(offer.candidate, job);
    this.reserved.set(job, { candidate: offer.candidate, at: this.context.clock.monotonic() });
  }

  private withdraw(job: Job): void {
    const reservation = this.reserved.get(job);
    this.reserved.delete(job);
    if (reservation !== undefined) this.flights.remove(reservation.candidate, job);
  }

  /** Withdraws choices that were not followed. */
  private withdrawOld(): void {
    const oldest = this.context.clock.monotonic() - RESERVED_MS;
    for (const [job, { at }] of this.reserved) {
      if (at > oldest) return;
      this.withdraw(job);
    }
  }

  private fly(candidate: Candidate, job: Job): void {
    const prefillMs = this.decisions.get(job)?.prefills.get(candidate.name) ?? 0;
    this.flights.add(candidate, { job, sentAt: this.context.clock.monotonic(), prefillMs });
  }

  /** The target with the longest cached prefix, when importing from it is quicker than computing. */
  private donor(best: Offer | undefined, offers: readonly Offer[]): string | undefined {
    const { importBlockMs } = this.context;
    if (best === undefined || importBlockMs === undefined) return undefined;
    let donor = best;
    for (const offer of offers) if (offer.cachedTokens > donor.cachedTokens) donor = offer;
    const tokens = donor.cachedTokens - best.reusedTokens;
    const blocks = tokens / BLOCK_TOKENS;
    if (blocks < LEAST_IMPORT_BLOCKS) return undefined;
    return blocks * importBlockMs < prefillMs(best.load, tokens) ? donor.candidate.name : undefined;
  }
}
