/** Requests that this entry has sent, for what no probe can tell yet. */
import type { Chain } from '../prefix/index.js';
import { sharedBlocks } from '../prefix/index.js';
import type { Candidate, Job } from './policy.js';

interface Flight {
  readonly job: Job;
  readonly sentAt: number;
  /** Prefill that the request brings along, milliseconds. */
  readonly prefillMs: number;
}

/** Time after which a request is taken to have its first token, where nobody tells. */
const ANSWERED_MS = 2_000;

/** Requests under way, by target. Bounded by the requests of the entry. */
export class Flights {
  private readonly flights = new Map<string, Map<Job, Flight>>();

  add(candidate: Candidate, flight: Flight): void {
    const there = this.flights.get(candidate.name) ?? new Map<Job, Flight>();
    this.flights.set(candidate.name, there.set(flight.job, flight));
  }

  /** Takes a request off; doing it twice changes nothing. */
  remove(candidate: Candidate, job: Job): void {
    const there = this.flights.get(candidate.name);
    there?.delete(job);
    if (there?.size === 0) this.flights.delete(candidate.name);
  }

  /** A request has its first token: its prefill is done. */
  answered(candidate: Candidate, job: Job): void {
    const there = this.flights.get(candidate.name);
    const flight = there?.get(job);
    if (flight !== undefined) there?.set(job, { ...flight, prefillMs: 0 });
  }

  /** Milliseconds of prefill that this entry has lately sent to a target, as far as it is not known to be done. */
  unansweredMs(candidate: Candidate, now: number): number {
    return this.sentSince(candidate, now - ANSWERED_MS);
  }

  /** Milliseconds of prefill sent to a target at `time` or later: what a probe sent then can't have seen. */
  sentSince(candidate: Candidate, time: number): number {
    let sum = 0;
    for (const flight of this.flights.get(candidate.name)?.values() ?? []) {
      if (flight.sentAt >= time) sum += flight.prefillMs;
    }
    return sum;
  }

  /** Blocks of a chain that a request under way at the target computes or has computed. */
  pendingBlocks(candidate: Candidate, chain: Chain): number {
    let blocks = 0;
    for (const { job } of this.flights.get(candidate.name)?.values() ?? []) {
      blocks = Math.max(blocks, sharedBlocks(job.chain, chain));
    }
    return blocks;
  }
}
