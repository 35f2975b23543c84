/** Baseline: where the prefix went last, learnt from this entry's own requests; nothing is asked. */
import { levelsOf } from '../prefix/index.js';
import { Outstanding } from './outstanding.js';
import type { Candidate, Choice, Job, Outcome, Policy } from './policy.js';
import { PrefixHints } from './prefixHints.js';

/** A hinted target takes at most this many times the mean load, and always some. */
const LOAD_BOUND = 1.25;
const ALWAYS_TAKEN = 2;

/** Follows its hints while the hinted target is not above the bound; else the fewest outstanding requests. */
export class LearntHints implements Policy {
  private readonly hints = new PrefixHints();
  private readonly outstanding = new Outstanding();

  choose(job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const hinted = this.hints.deepest(levelsOf(job.chain), candidates)?.candidates ?? [];
    const bound = this.bound(candidates);
    const open = hinted.filter((candidate) => this.outstanding.count(candidate) < bound);
    const rest = candidates.filter((candidate) => !open.includes(candidate));
    rest.sort((a, b) => this.outstanding.relative(a) - this.outstanding.relative(b));
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
    return Math.max(ALWAYS_TAKEN, (LOAD_BOUND * all) / candidates.length);
  }
}
