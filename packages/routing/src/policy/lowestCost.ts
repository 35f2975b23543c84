/**
 * The default policy: probes a few targets and takes the one with the lowest expected cost. The home of the
 * prompt's prefix is probed first; when it has the prefix cached and a short queue, no other target is probed.
 */
import { BLOCK_TOKENS, levelsOf } from '../prefix/index.js';
import { CostModel } from './costModel.js';
import type { CostOptions } from './costModel.js';
import { prefillMs } from './estimate.js';
import { InFlightPrefills } from './inFlightPrefills.js';
import { HomeCounts } from './homeCounts.js';
import { LastLoads } from './lastLoads.js';
import { probedEstimate, historyEstimate } from './targetEstimate.js';
import type { TargetEstimate, EstimateSources } from './targetEstimate.js';
import type { Candidate, Choice, Job, Outcome, Policy, PolicyContext, ProbeReading } from './policy.js';
import { Popularity } from './popularity.js';
import { PrefixHints } from './prefixHints.js';
import { createRandom } from './random.js';
import { shortlistOf } from './shortlist.js';
import type { Shortlist, ShortlistSources } from './shortlist.js';
import { SlowStart } from './slowStart.js';
import { TargetHealth } from './targetHealth.js';

/** Parameters in which the versions of the policy differ. */
export interface LowestCostOptions extends CostOptions {
  /** Maximum number of targets to probe. */
  readonly probes: number;
  /** Maximum number of targets to probe when this entry has not seen any prefix of the prompt. */
  readonly probesWithoutHint: number;
  /** Targets probed first; the others are probed only when these are not sufficient. */
  readonly initialProbes: number;
  /** Whether blocks that a lost cache event may have removed count as cached when targets are compared. */
  readonly countLikelyBlocks: boolean;
  /** Whether targets whose probe timed out are estimated from past observations; otherwise they are left out. */
  readonly useHistoryOnTimeout: boolean;
}

/** Importing fewer blocks than this saves less than the import request costs. */
const MIN_IMPORT_BLOCKS = 16;

/** A queue is short when it takes at most this fraction of the prefill time of the prompt, or this many milliseconds. */
const SHORT_QUEUE_FRACTION = 0.1;
const SHORT_QUEUE_MS = 20;

/** Estimates behind the decision on a job, by target. */
interface Decision {
  readonly estimateMs: ReadonlyMap<string, number>;
  readonly recomputeMs: ReadonlyMap<string, number>;
}

/** Result of probing a target; the reading is undefined when the probe timed out. */
interface ProbeResult {
  readonly candidate: Candidate;
  readonly reading: ProbeReading | undefined;
  readonly probedAt: number;
}

interface Reservation {
  readonly candidate: Candidate;
  readonly reservedAt: number;
}

/** A choice that has not been dispatched after this time is taken to be abandoned. */
const RESERVATION_MS = 1_000;

/** Chooses the target with the lowest expected cost among those on a shortlist. */
export class LowestCost implements Policy {
  private readonly inFlight = new InFlightPrefills();
  private readonly health: TargetHealth;
  private readonly slowStart: SlowStart;
  private readonly costModel: CostModel;
  private readonly shortlistSources: ShortlistSources;
  private readonly estimateSources: EstimateSources;
  private readonly decisions = new WeakMap<Job, Decision>();
  /** Choices that have not been dispatched yet, oldest first. */
  private readonly reservations = new Map<Job, Reservation>();

  constructor(
    private readonly context: PolicyContext,
    private readonly options: LowestCostOptions,
  ) {
    const { clock, seed } = context;
    const { inFlight } = this;
    const hints = new PrefixHints();
    const lastLoads = new LastLoads(clock);
    this.health = new TargetHealth(clock);
    this.slowStart = new SlowStart(clock);
    this.costModel = new CostModel(options, this.health, this.slowStart);
    this.shortlistSources = {
      hints,
      lastLoads,
      popularity: new Popularity(clock),
      homeCounts: new HomeCounts(clock),
      random: createRandom(seed),
      probes: options.probes,
      probesWithoutHint: options.probesWithoutHint,
    };
    const { countLikelyBlocks } = options;
    this.estimateSources = { context, inFlight, hints, lastLoads, health: this.health, countLikelyBlocks };
  }

  async choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const shortlist = this.prepare(job, candidates);
    const { initialProbes } = this.options;
    const first = await this.probeAll(shortlist.candidates.slice(0, initialProbes), job);
    const others = shortlist.candidates.slice(initialProbes);
    if (others.length === 0 || this.isSufficient(job, shortlist, this.estimatesFrom(job, first))) {
      return this.decide(job, shortlist, this.estimatesFrom(job, first));
    }
    const more = await this.probeAll(others, job);
    return this.decide(job, shortlist, this.estimatesFrom(job, [...first, ...more]));
  }

  dispatched(candidate: Candidate, job: Job): void {
    this.withdraw(job);
    this.addInFlight(candidate, job);
    this.shortlistSources.hints.record(levelsOf(job.chain), candidate.name);
  }

  settled(outcome: Outcome): void {
    const { candidate, job, load, firstTokenMs } = outcome;
    if (load !== undefined) this.shortlistSources.lastLoads.record(candidate, load);
    if (outcome.phase === 'first-token') {
      this.inFlight.prefillDone(candidate, job);
      return;
    }
    this.inFlight.remove(candidate, job);
    const expectedMs = this.decisions.get(job)?.estimateMs.get(candidate.name);
    if (firstTokenMs !== undefined && expectedMs !== undefined) {
      this.health.recordFirstToken(candidate, firstTokenMs, expectedMs);
    }
    if (!outcome.ok && firstTokenMs === undefined) this.health.recordFailure(candidate);
  }

  private prepare(job: Job, candidates: readonly Candidate[]): Shortlist {
    this.slowStart.recordEngines(candidates, (candidate) => {
      this.health.forget(candidate);
    });
    this.withdraw(job);
    this.withdrawExpired();
    this.shortlistSources.lastLoads.retain(candidates);
    this.shortlistSources.popularity.record(levelsOf(job.chain).map((level) => level.key));
    return shortlistOf(this.shortlistSources, job.chain, candidates);
  }

  private async probeAll(candidates: readonly Candidate[], job: Job): Promise<ProbeResult[]> {
    return Promise.all(candidates.map((candidate) => this.probeOne(candidate, job)));
  }

  private async probeOne(candidate: Candidate, job: Job): Promise<ProbeResult> {
    const probedAt = this.context.clock.monotonic();
    const reading = await this.context.probe(candidate, job);
    if (reading === undefined) this.health.recordProbeTimeout(candidate);
    else this.health.recordProbeAnswer(candidate);
    if (reading?.accepting === true) this.shortlistSources.lastLoads.record(candidate, reading.load);
    return { candidate, reading, probedAt };
  }

  /** Estimates as of now, including requests that this entry has sent since the probes. */
  private estimatesFrom(job: Job, answers: readonly ProbeResult[]): TargetEstimate[] {
    const estimates = answers.map(({ candidate, reading, probedAt }) => {
      if (reading?.accepting === true)
        return probedEstimate(this.estimateSources, candidate, job, reading, probedAt);
      const useHistory = reading === undefined && this.options.useHistoryOnTimeout;
      return useHistory ? historyEstimate(this.estimateSources, candidate, job) : undefined;
    });
    return estimates.filter((estimate) => estimate !== undefined);
  }

  /**
   * Whether probing more targets is not worthwhile: the best target probed so far has the prefix and a short queue,
   * or all probes timed out and more of them would add to the overload.
   */
  private isSufficient(job: Job, shortlist: Shortlist, estimates: readonly TargetEstimate[]): boolean {
    const best = this.costModel.rank(job, shortlist.home, estimates)[0];
    if (best === undefined) return false;
    if (!best.answered) return estimates.every((estimate) => !estimate.answered);
    const wanted = Math.max(1, shortlist.sharedBlocks) * BLOCK_TOKENS;
    const queueMs = best.estimateMs - best.likelySavingMs - best.recomputeMs;
    const shortQueueMs = Math.max(
      SHORT_QUEUE_MS,
      SHORT_QUEUE_FRACTION * prefillMs(best.load, job.promptTokens),
    );
    return best.likelyTokens >= wanted && this.costModel.isTypicalSize(job, best) && queueMs <= shortQueueMs;
  }

  private decide(job: Job, shortlist: Shortlist, estimates: readonly TargetEstimate[]): Choice {
    const ranked = this.costModel.rank(job, shortlist.home, estimates);
    const best = ranked[0];
    this.decisions.set(job, {
      estimateMs: new Map(estimates.map((estimate) => [estimate.candidate.name, estimate.estimateMs])),
      recomputeMs: new Map(estimates.map((estimate) => [estimate.candidate.name, estimate.recomputeMs])),
    });
    if (best !== undefined) this.reserve(job, best);
    const order = ranked.map((estimate) => estimate.candidate);
    const others = shortlist.candidates.filter((candidate) => !order.includes(candidate));
    return {
      order: [...order, ...others],
      estimateMs: best?.answered === true ? best.estimateMs : undefined,
      importFrom: this.importSource(best, estimates),
    };
  }

  /**
   * Counts a choice as in flight before it is dispatched. When several probes are answered together, their
   * decisions are made before the first of the requests is sent, and each must take the earlier ones into account.
   */
  private reserve(job: Job, estimate: TargetEstimate): void {
    this.costModel.recordChoice(job, estimate);
    this.addInFlight(estimate.candidate, job);
    this.reservations.set(job, { candidate: estimate.candidate, reservedAt: this.context.clock.monotonic() });
  }

  private withdraw(job: Job): void {
    const reservation = this.reservations.get(job);
    this.reservations.delete(job);
    if (reservation !== undefined) this.inFlight.remove(reservation.candidate, job);
  }

  /** Removes reservations of choices that were never dispatched. */
  private withdrawExpired(): void {
    const oldest = this.context.clock.monotonic() - RESERVATION_MS;
    for (const [job, { reservedAt }] of this.reservations) {
      if (reservedAt > oldest) return;
      this.withdraw(job);
    }
  }

  private addInFlight(candidate: Candidate, job: Job): void {
    const prefillMs = this.decisions.get(job)?.recomputeMs.get(candidate.name) ?? 0;
    this.inFlight.add(candidate, { job, sentAt: this.context.clock.monotonic(), prefillMs });
  }

  /** The target with the longest cached prefix, if importing from it is faster than recomputing. */
  private importSource(
    best: TargetEstimate | undefined,
    estimates: readonly TargetEstimate[],
  ): string | undefined {
    const { importBlockMs } = this.context;
    if (best === undefined || importBlockMs === undefined) return undefined;
    let source = best;
    for (const estimate of estimates) if (estimate.cachedTokens > source.cachedTokens) source = estimate;
    const tokens = source.cachedTokens - best.reusedTokens;
    const blocks = tokens / BLOCK_TOKENS;
    if (blocks < MIN_IMPORT_BLOCKS) return undefined;
    return blocks * importBlockMs < prefillMs(best.load, tokens) ? source.candidate.name : undefined;
  }
}
