/** The load that each target last reported to this entry, to estimate which targets are idle. */
import type { Clock } from '@jasmineroute/core';
import { prefillMs } from './estimate.js';
import type { Candidate, Load } from './policy.js';

interface LoadReport {
  readonly reportedAt: number;
  readonly load: Load;
  /** Milliseconds of queued prefill. */
  readonly waitMs: number;
  /** Requests per unit of capacity. */
  readonly utilisation: number;
}

/** Milliseconds of wait added for a target at full capacity, besides its prefill queue. */
const FULL_TARGET_MS = 1_000;

/** Last reported load by target. Bounded by `retain`. */
export class LastLoads {
  private readonly entries = new Map<string, LoadReport>();

  constructor(private readonly clock: Clock) {}

  /** Records the load that a target reported. */
  record(candidate: Candidate, load: Load): void {
    const requests = load.running + load.queued;
    const utilisation = requests / Math.max(1, load.capacity || candidate.capacity);
    const entry = {
      reportedAt: this.clock.monotonic(),
      load,
      waitMs: prefillMs(load, load.queuedTokens),
      utilisation,
    };
    this.entries.set(candidate.name, entry);
  }

  /** The load that a target last reported. */
  load(candidate: Candidate): Load | undefined {
    return this.entries.get(candidate.name)?.load;
  }

  /** Estimated wait now: the reported wait less the time since the report. Unknown targets are assumed to be idle. */
  waitMs(candidate: Candidate): number {
    const entry = this.entries.get(candidate.name);
    if (entry === undefined) return 0;
    const left = Math.max(0, entry.waitMs - (this.clock.monotonic() - entry.reportedAt));
    return left + FULL_TARGET_MS * entry.utilisation ** 2;
  }

  /** Removes targets that are no longer candidates, once there are many of them. */
  retain(candidates: readonly Candidate[]): void {
    if (this.entries.size <= 2 * candidates.length + 16) return;
    const names = new Set(candidates.map((candidate) => candidate.name));
    for (const name of this.entries.keys()) if (!names.has(name)) this.entries.delete(name);
  }
}
