/** Baseline: round robin. */
import type { Candidate, Choice, Job, Policy } from './policy.js';

/** Takes targets in turn, without regard to load or caches. */
export class RoundRobin implements Policy {
  private next: number;

  /** @param seed start of the rotation, so that entries don't all start at the same target. */
  constructor(seed: number) {
    this.next = Math.abs(Math.trunc(seed));
  }

  choose(_job: Job, candidates: readonly Candidate[]): Promise<Choice> {
    const first = this.next % candidates.length;
    this.next += 1;
    return Promise.resolve({ order: [...candidates.slice(first), ...candidates.slice(0, first)] });
  }

  dispatched(): void {
    // Round robin does not depend on requests in flight.
  }

  settled(): void {
    // See `dispatched`.
  }
}
