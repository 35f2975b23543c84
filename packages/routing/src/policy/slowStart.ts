/**
 * Slow start of engines.
 *
 * An engine that has just started is idle and has an empty cache. If all entries sent it their overflow at once, all
 * of it would need prefill, and the first requests would wait longest. Therefore a new engine may use only a
 * fraction of its capacity at first, which grows while it warms up.
 */
import type { Clock } from '@jasmineroute/core';
import type { Candidate, Load } from './policy.js';

/** Time after its start at which an engine counts as warm. */
const WARM_UP_MS = 10_000;

/** Fraction of its capacity that an engine may use at its start. */
const INITIAL_FRACTION = 0.2;

/** An entry that has observed targets for less than this can't tell a new engine from one that it has not seen yet. */
const MIN_OBSERVATION_MS = 3_000;

interface ObservedEngine {
  readonly incarnation: string;
  /** When the engine was first seen; undefined if it was already running when observation began. */
  readonly startedAt?: number;
}

/** Limits requests to new engines while they warm up. */
export class SlowStart {
  private readonly engines = new Map<string, ObservedEngine>();
  private readonly observingSince: number;

  constructor(private readonly clock: Clock) {
    this.observingSince = clock.monotonic();
  }

  /** Records the engine incarnations of the candidates. Calls `onReplaced` for each target with a new engine. */
  recordEngines(candidates: readonly Candidate[], onReplaced: (candidate: Candidate) => void): void {
    for (const candidate of candidates) {
      const known = this.engines.get(candidate.name);
      if (known?.incarnation === candidate.engineIncarnation) continue;
      const now = this.clock.monotonic();
      const started = known !== undefined || now - this.observingSince > MIN_OBSERVATION_MS;
      this.engines.set(candidate.name, {
        incarnation: candidate.engineIncarnation,
        startedAt: started ? now : undefined,
      });
      if (known !== undefined) onReplaced(candidate);
    }
  }

  /** Whether a target has as many requests as its warm-up allows. */
  isAtWarmUpLimit(candidate: Candidate, load: Load): boolean {
    const startedAt = this.engines.get(candidate.name)?.startedAt;
    if (startedAt === undefined) return false;
    const progress = (this.clock.monotonic() - startedAt) / WARM_UP_MS;
    if (progress >= 1) return false;
    const part = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * progress;
    return load.running + load.queued >= Math.max(1, part * candidate.capacity);
  }
}
