/** Baseline: the target to which this entry last sent the prefix, without probes. */
import { levelsOf } from '../prefix/index.js';
import { Outstanding } from './outstanding.js';
import type { Candidate, Choice, Job, Outcome, Policy } from './policy.js';
import { PrefixHints } from './prefixHints.js';

/** Maximum load of a hinted target, as a multiple of the mean load, and its lower bound in requests. */
const LOAD_BOUND = 1.25;
const MIN_BOUND = 2;

/** Prefers hinted targets whose load is below the bound, then those with the fewest outstanding requests. */
export class LearntHints implements Policy {
  private readonly hints = new PrefixHints();
  private readonly outstanding = new Outstanding();

  choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const hinted = this.hints.deepest(levelsOf(job.chain), candidates)?.candidates ?? [];
    const bound = this.bound(candidates);
    const open = hinted.filter((candidate) => this.outstanding.count(candidate) < bound);
    const rest = candidates.filter((candidate) => !open.includes(candidate));
    rest.sort((a, b) => this.outstanding.perCapacity(a) - this.outstanding.perCapacity(b));
    return Promise.resolve({ order: [...open, ...rest] });
  }

  dispatched(candidate: Candidate, job: Job): void {
    this.outstanding.add(candidate, job);
    this.hints.record(levelsOf(job.chain), candidate.name);
  }

  settled(outcome: Outcome): void {
    if (outcome.phase === 'first-token') return;
    this.outstanding.remove(outcome.candidate, outcome.job);
  }

  private bound(candidates: readonly Candidate[]): number {
    const all = candidates.reduce((sum, candidate) => sum + this.outstanding.count(candidate), 1);
    return Math.max(MIN_BOUND, (LOAD_BOUND * all) / candidates.length);
  }
}
