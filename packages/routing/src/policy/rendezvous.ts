/** Baseline: rendezvous hashing on prefix levels with bounded load, without probes. */
import { homesByLevel } from './homesByLevel.js';
import { Outstanding } from './outstanding.js';
import type { Candidate, Choice, Job, Outcome, Policy } from './policy.js';

/** Maximum load of a home, as a multiple of the mean load of the candidates. */
const LOAD_BOUND = 1.25;

/** Maximum number of homes in a choice. */
const MAX_HOMES = 6;

/** Sends each prompt to the first of its homes whose load is below the bound. */
export class Rendezvous implements Policy {
  private readonly outstanding = new Outstanding();

  choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const homes = homesByLevel(job.chain, candidates, Math.min(MAX_HOMES, candidates.length));
    const bound = this.bound(candidates);
    const free = homes.filter((home) => this.outstanding.count(home) < bound * home.capacity);
    const full = homes.filter((home) => !free.includes(home));
    full.sort((a, b) => this.outstanding.perCapacity(a) - this.outstanding.perCapacity(b));
    return Promise.resolve({ order: [...free, ...full] });
  }

  dispatched(candidate: Candidate, job: Job): void {
    this.outstanding.add(candidate, job);
  }

  settled(outcome: Outcome): void {
    if (outcome.phase === 'first-token') return;
    this.outstanding.remove(outcome.candidate, outcome.job);
  }

  /** Maximum requests per unit of capacity at a home, including the current request. */
  private bound(candidates: readonly Candidate[]): number {
    let requests = 1;
    let capacity = 0;
    for (const candidate of candidates) {
      requests += this.outstanding.count(candidate);
      capacity += candidate.capacity;
    }
    return (LOAD_BOUND * requests) / Math.max(1, capacity);
  }
}
