/** Requests that this entry has sent and that are not yet visible in the loads reported by probes. */
import type { Chain } from '../prefix/index.js';
import { sharedBlocks } from '../prefix/index.js';
import type { Candidate, Job } from './policy.js';

interface InFlightPrefill {
  readonly job: Job;
  readonly sentAt: number;
  /** Expected prefill time of the request, milliseconds; 0 once its first token has arrived. */
  readonly prefillMs: number;
}

/** Time after which the prefill of a request is assumed to be done when no first token was reported. */
const ASSUMED_PREFILL_MS = 2_000;

/** In-flight requests by target. Bounded by the number of in-flight requests of the entry. */
export class InFlightPrefills {
  private readonly byTarget = new Map<string, Map<Job, InFlightPrefill>>();

  add(candidate: Candidate, prefill: InFlightPrefill): void {
    const prefills = this.byTarget.get(candidate.name) ?? new Map<Job, InFlightPrefill>();
    this.byTarget.set(candidate.name, prefills.set(prefill.job, prefill));
  }

  /** Removes a request; has no effect when it is not in flight. */
  remove(candidate: Candidate, job: Job): void {
    const prefills = this.byTarget.get(candidate.name);
    prefills?.delete(job);
    if (prefills?.size === 0) this.byTarget.delete(candidate.name);
  }

  /** Records that a request has its first token. */
  prefillDone(candidate: Candidate, job: Job): void {
    const prefills = this.byTarget.get(candidate.name);
    const prefill = prefills?.get(job);
    if (prefill !== undefined) prefills?.set(job, { ...prefill, prefillMs: 0 });
  }

  /** Milliseconds of prefill that this entry recently sent to a target and that is not known to be done. */
  pendingMs(candidate: Candidate, now: number): number {
    return this.prefillMsSince(candidate, now - ASSUMED_PREFILL_MS);
  }

  /** Milliseconds of prefill sent to a target at `time` or later, which a probe sent at `time` does not include. */
  prefillMsSince(candidate: Candidate, time: number): number {
    let sum = 0;
    for (const prefill of this.byTarget.get(candidate.name)?.values() ?? []) {
      if (prefill.sentAt >= time) sum += prefill.prefillMs;
    }
    return sum;
  }

  /** Leading blocks of a chain that an in-flight request at the target shares. */
  pendingBlocks(candidate: Candidate, chain: Chain): number {
    let blocks = 0;
    for (const { job } of this.byTarget.get(candidate.name)?.values() ?? []) {
      blocks = Math.max(blocks, sharedBlocks(job.chain, chain));
    }
    return blocks;
  }
}
