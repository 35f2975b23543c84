/** First version of the default policy: rendezvous hashing with probes. */
import { prefillMs, firstTokenMs } from './estimate.js';
import { homesByLevel } from './homesByLevel.js';
import { Outstanding } from './outstanding.js';
import type { Candidate, Choice, Job, Outcome, Policy, PolicyContext, ProbeReading } from './policy.js';

/** One-way network latency to another data centre, and within one, milliseconds. */
const REMOTE_ONE_WAY_MS = 1;
const LOCAL_ONE_WAY_MS = 0.2;

/** Weight of a millisecond of recomputation relative to a millisecond of waiting, by objective. */
const RECOMPUTE_WEIGHT = { latency: 0.5, reuse: 2 } as const;

/** Answer of a probed candidate, with its cost. */
interface RankedReading {
  readonly candidate: Candidate;
  readonly reading: ProbeReading;
  readonly estimateMs: number;
  /** Cost by which candidates are ranked, milliseconds. */
  readonly cost: number;
}

/** Probes the homes of the prompt's levels and the least loaded other target, and takes the one with the lowest cost. */
export class RendezvousProbe implements Policy {
  private readonly outstanding = new Outstanding();

  /** @param probes number of targets to probe for each request. */
  constructor(
    private readonly context: PolicyContext,
    private readonly probes = 3,
  ) {}

  async choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const probed = this.targetsToProbe(job, candidates);
    const answers = await Promise.all(probed.map((candidate) => this.probeOne(candidate, job)));
    const readings = answers.filter((answer) => answer !== undefined).sort((a, b) => a.cost - b.cost);
    const order = readings.map((reading) => reading.candidate);
    const unanswered = probed.filter((candidate) => !order.includes(candidate));
    return { order: [...order, ...unanswered], estimateMs: readings[0]?.estimateMs };
  }

  dispatched(candidate: Candidate, job: Job): void {
    this.outstanding.add(candidate, job);
  }

  settled(outcome: Outcome): void {
    if (outcome.phase === 'first-token') return;
    this.outstanding.remove(outcome.candidate, outcome.job);
  }

  private targetsToProbe(job: Job, candidates: readonly Candidate[]): Candidate[] {
    const count = Math.min(this.probes, candidates.length);
    const homes = homesByLevel(job.chain, candidates, count);
    const rest = candidates.filter((candidate) => !homes.includes(candidate));
    rest.sort((a, b) => this.outstanding.perCapacity(a) - this.outstanding.perCapacity(b));
    const idle = rest[0];
    if (idle === undefined) return homes;
    const place = Math.max(1, count - 1);
    return [...homes.slice(0, place), idle];
  }

  private async probeOne(candidate: Candidate, job: Job): Promise<RankedReading | undefined> {
    const reading = await this.context.probe(candidate, job);
    if (reading?.accepting !== true) return undefined;
    const { load, cachedTokens } = reading;
    const distanceMs =
      candidate.dataCentre === this.context.dataCentre ? LOCAL_ONE_WAY_MS : REMOTE_ONE_WAY_MS;
    const estimateMs = firstTokenMs({
      promptTokens: job.promptTokens,
      cachedTokens,
      load,
      sentTokens: 0,
      oneWayMs: distanceMs,
    });
    const recomputeMs = prefillMs(load, job.promptTokens - cachedTokens);
    const cost = estimateMs + RECOMPUTE_WEIGHT[job.objective] * recomputeMs;
    return { candidate, reading, estimateMs, cost };
  }
}
