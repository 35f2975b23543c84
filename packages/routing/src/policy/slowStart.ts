/**
 * Engines that have just started.
 *
 * What goes wrong: a started engine is the idlest of all and has nothing cached. All entries find it at once
 * and send it the overflow of the others, all of which has to be prefilled: its first requests wait longest.
 * Here it may fill only a part of its places at first, and more as it warms up.
 */
import type { Clock } from '@jasmineroute/core';
import type { Candidate, Load } from './policy.js';

/** Time until an engine counts as warm. */
const WARM_MS = 10_000;

/** Part of its places that it may fill at first. */
const FIRST_PART = 0.2;

/** An entry that has watched for less than this can't tell new engines from those new to it. */
const WATCHED_MS = 3_000;

interface Sighting {
  readonly incarnation: string;
  /** When it was seen to start; undefined: it was there before. */
  readonly startedAt?: number;
}

/** Starts of engines, by target. */
export class SlowStart {
  private readonly sightings = new Map<string, Sighting>();
  private readonly watchedSince: number;

  constructor(private readonly clock: Clock) {
    this.watchedSince = clock.monotonic();
  }

  /** Notes the incarnations of the candidates. Calls back for each target that has a new engine. */
  see(candidates: readonly Candidate[], replaced: (candidate: Candidate) => void): void {
    for (const candidate of candidates) {
      const known = this.sightings.get(candidate.name);
      if (known?.incarnation === candidate.engineIncarnation) continue;
      const now = this.clock.monotonic();
      const started = known !== undefined || now - this.watchedSince > WATCHED_MS;
      this.sightings.set(candidate.name, {
        incarnation: candidate.engineIncarnation,
        startedAt: started ? now : undefined,
      });
      if (known !== undefined) replaced(candidate);
    }
  }

  /** Whether a target has as many requests as its warmth allows. */
  full(candidate: Candidate, load: Load): boolean {
    const startedAt = this.sightings.get(candidate.name)?.startedAt;
    if (startedAt === undefined) return false;
    const warmth = (this.clock.monotonic() - startedAt) / WARM_MS;
    if (warmth >= 1) return false;
    const part = FIRST_PART + (1 - FIRST_PART) * warmth;
    return load.running + load.queued >= Math.max(1, part * candidate.capacity);
  }
}
