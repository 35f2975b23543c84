/** Baseline: each target in turn. */
import type { Candidate, Choice, Job, Policy } from './policy.js';

/** Takes targets in turn, by name, without regard to load or caches. */
export class RoundRobin implements Policy {
  private next: number;

  /** @param seed where the turn starts, so that entries don't all start at one target. */
  constructor(seed: number) {
    this.next = Math.abs(Math.trunc(seed));
  }

  choose(_job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const first = this.next % candidates.length;
    this.next += 1;
    return Promise.resolve({ order: [...candidates.slice(first), ...candidates.slice(0, first)] });
  }

  dispatched(): void {
    // A turn depends on nothing that happens to requests.
  }

  settled(): void {
    // As above.
  }
}
