/** Baseline: the target with the fewest outstanding requests of this entry. */
import { Outstanding } from './outstanding.js';
import type { Candidate, Choice, Job, Outcome, Policy } from './policy.js';

/** Chooses by outstanding requests per unit of capacity; ties are broken in rotation. */
export class LeastOutstanding implements Policy {
  private readonly outstanding = new Outstanding();
  private turn: number;

  /** @param seed start of the rotation. */
  constructor(seed: number) {
    this.turn = Math.abs(Math.trunc(seed));
  }

  choose(_job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const first = this.turn % candidates.length;
    this.turn += 1;
    const turned = [...candidates.slice(first), ...candidates.slice(0, first)];
    const order = turned.sort((a, b) => this.outstanding.perCapacity(a) - this.outstanding.perCapacity(b));
    return Promise.resolve({ order });
  }

  dispatched(candidate: Candidate, job: Job): void {
    this.outstanding.add(candidate, job);
  }

  settled(outcome: Outcome): void {
    if (outcome.phase === 'first-token') return;
    this.outstanding.remove(outcome.candidate, outcome.job);
  }
}
