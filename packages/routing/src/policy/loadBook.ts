/** Load of targets as this entry last heard of it, to guess which one idles. Probes correct it. */
import type { Clock } from '@jasmineroute/core';
import { prefillMs } from './estimate.js';
import type { Candidate, Load } from './policy.js';

interface Entry {
  readonly at: number;
  readonly load: Load;
  /** Milliseconds of prefill that waited. */
  readonly waitMs: number;
  /** Requests for each unit of capacity. */
  readonly busy: number;
}

/** Milliseconds of wait that a full target stands for, beside its prefill queue. */
const FULL_MS = 1_000;

/** Last known load by target. Bounded by the targets there have been since the last `keep`. */
export class LoadBook {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly clock: Clock) {}

  /** A target has told its load. */
  record(candidate: Candidate, load: Load): void {
    const requests = load.running + load.queued;
    const busy = requests / Math.max(1, load.capacity || candidate.capacity);
    const entry = { at: this.clock.monotonic(), load, waitMs: prefillMs(load, load.queuedTokens), busy };
    this.entries.set(candidate.name, entry);
  }

  /** Load as it was last told. */
  load(candidate: Candidate): Load | undefined {
    return this.entries.get(candidate.name)?.load;
  }

  /** Guess of the wait now: what was there, less the time since. Unknown targets are taken to idle. */
  waitMs(candidate: Candidate): number {
    const entry = this.entries.get(candidate.name);
    if (entry === undefined) return 0;
    const left = Math.max(0, entry.waitMs - (this.clock.monotonic() - entry.at));
    return left + FULL_MS * entry.busy ** 2;
  }

  /** Forgets targets that are not among the candidates any more, once there are many. */
  keep(candidates: readonly Candidate[]): void {
    if (this.entries.size <= 2 * candidates.length + 16) return;
    const names = new Set(candidates.map((candidate) => candidate.name));
    for (const name of this.entries.keys()) if (!names.has(name)) this.entries.delete(name);
  }
}
