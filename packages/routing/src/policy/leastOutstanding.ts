/** Baseline: the target with the fewest of this entry's requests. */
import { Outstanding } from './outstanding.js';
import type { Candidate, Choice, Job, Outcome, Policy } from './policy.js';

/** Chooses by the entry's own outstanding requests for each unit of capacity; ties go in turn. */
export class LeastOutstanding implements Policy {
  private readonly outstanding = new Outstanding();
  private turn: number;

  /** @param seed where ties start. */
  constructor(seed: number) {
    this.turn = Math.abs(Math.trunc(seed));
  }

  choose(_job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const first = this.turn % candidates.length;
    this.turn += 1;
    const turned = [...candidates.slice(first), ...candidates.slice(0, first)];
    const order = turned.sort((a, b) => this.outstanding.relative(a) - this.outstanding.relative(b));
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
