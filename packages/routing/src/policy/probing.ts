/** Rendezvous homes, asked before deciding. */
import { prefillMs, firstTokenMs } from './estimate.js';
import { homesByLevel } from './candidateLevels.js';
import { Outstanding } from './outstanding.js';
import type { Candidate, Choice, Job, Outcome, Policy, PolicyContext, ProbeReading } from './policy.js';

/** One-way network time to another data centre, and within one, milliseconds. */
const FAR_MS = 1;
const NEAR_MS = 0.2;

/** How much a millisecond of recomputed prefill counts beside one of waiting, by objective. */
const RECOMPUTE_WEIGHT = { latency: 0.5, reuse: 2 } as const;

/** What this entry has measured at a candidate. */
interface Reading {
  readonly candidate: Candidate;
  readonly reading: ProbeReading;
  readonly estimateMs: number;
  /** Milliseconds that the choice is ranked by. */
  readonly cost: number;
}

/** Asks the homes of the prompt's levels and the least loaded other one, and takes the cheapest. */
export class RendezvousProbe implements Policy {
  private readonly outstanding = new Outstanding();

  /** @param probes how many targets are asked for each request. */
  constructor(
    private readonly context: PolicyContext,
    private readonly probes = 3,
  ) {}

  async choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const asked = this.candidatesFor(job, candidates);
    const answers = await Promise.all(asked.map((candidate) => this.ask(candidate, job)));
    const readings = answers.filter((answer) => answer !== undefined).sort((a, b) => a.cost - b.cost);
    const order = readings.map((reading) => reading.candidate);
    const silent = asked.filter((candidate) => !order.includes(candidate));
    return { order: [...order, ...silent], estimateMs: readings[0]?.estimateMs };
  }

  dispatched(candidate: Candidate, job: Job): void {
    this.outstanding.add(candidate, job);
  }

  settled(outcome: Outcome): void {
    if (outcome.phase === 'first-token') return;
    this.outstanding.remove(outcome.candidate, outcome.job);
  }

  private candidatesFor(job: Job, candidates: readonly Candidate[]): Candidate[] {
    const count = Math.min(this.probes, candidates.length);
    const homes = homesByLevel(job.chain, candidates, count);
    const rest = candidates.filter((candidate) => !homes.includes(candidate));
    rest.sort((a, b) => this.outstanding.relative(a) - this.outstanding.relative(b));
    const idle = rest[0];
    if (idle === undefined) return homes;
    const place = Math.max(1, count - 1);
    return [...homes.slice(0, place), idle];
  }

  private async ask(candidate: Candidate, job: Job): Promise<Reading | undefined> {
    const reading = await this.context.probe(candidate, job);
    if (reading?.accepting !== true) return undefined;
    const { load, cachedTokens } = reading;
    const distanceMs = candidate.dataCentre === this.context.dataCentre ? NEAR_MS : FAR_MS;
    const estimateMs = firstTokenMs({
      promptTokens: job.promptTokens,
      cachedTokens,
      load,
      sentTokens: 0,
      distanceMs,
    });
    const recomputeMs = prefillMs(load, job.promptTokens - cachedTokens);
    const cost = estimateMs + RECOMPUTE_WEIGHT[job.objective] * recomputeMs;
    return { candidate, reading, estimateMs, cost };
  }
}
