/** Outstanding requests of this entry at each target. */
import type { Candidate, Job } from './policy.js';

/** Outstanding jobs by target. Bounded by the number of in-flight requests of the entry. */
export class Outstanding {
  private readonly jobs = new Map<string, Set<Job>>();

  add(candidate: Candidate, job: Job): void {
    const jobs = this.jobs.get(candidate.name) ?? new Set();
    this.jobs.set(candidate.name, jobs.add(job));
  }

  /** Removes a job; has no effect when it is not outstanding. */
  remove(candidate: Candidate, job: Job): void {
    const jobs = this.jobs.get(candidate.name);
    jobs?.delete(job);
    if (jobs?.size === 0) this.jobs.delete(candidate.name);
  }

  /** Number of outstanding jobs at a target. */
  count(candidate: Candidate): number {
    return this.jobs.get(candidate.name)?.size ?? 0;
  }

  /** Outstanding jobs per unit of capacity. */
  perCapacity(candidate: Candidate): number {
    return this.count(candidate) / Math.max(1, candidate.capacity);
  }
}
