/** Requests that this entry has at each target. */
import type { Candidate, Job } from './policy.js';

/** Jobs by target. Bounded by the requests under way. */
export class Outstanding {
  private readonly jobs = new Map<string, Set<Job>>();

  add(candidate: Candidate, job: Job): void {
    const jobs = this.jobs.get(candidate.name) ?? new Set();
    this.jobs.set(candidate.name, jobs.add(job));
  }

  /** Takes a job off; doing it twice changes nothing. */
  remove(candidate: Candidate, job: Job): void {
    const jobs = this.jobs.get(candidate.name);
    jobs?.delete(job);
    if (jobs?.size === 0) this.jobs.delete(candidate.name);
  }

  /** Number of jobs at a target. */
  count(candidate: Candidate): number {
    return this.jobs.get(candidate.name)?.size ?? 0;
  }

  /** Jobs for each unit of capacity. */
  relative(candidate: Candidate): number {
    return this.count(candidate) / Math.max(1, candidate.capacity);
  }
}
