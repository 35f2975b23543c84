/**
 * Targets that perform worse than estimated.
 *
 * An engine or its network can become slow or fail while its reported load looks low, because it answers nothing. Its
 * first tokens then arrive later than estimated, by a larger factor than at other targets. Its estimates are
 * multiplied by this factor, which decays so that the target is tried again.
 */
import type { Clock } from '@jasmineroute/core';
import type { Candidate } from './policy.js';

/** Weight of the newest measurement in the moving average. */
const NEWEST_WEIGHT = 0.1;

/** Times below this many milliseconds are rounded up to it, as their ratios would be rounding errors. */
const MIN_MS = 50;

/** Factors below the first are treated as noise; the second is the upper bound. */
const MAX_NOISE_FACTOR = 2;
const MAX_FACTOR = 8;

/** Time in which a factor or a failure decays to 1/e. */
const DECAY_MS = 10_000;

/** Penalty for each recent failure, milliseconds, and the maximum number of failures that count. */
const FAILURE_PENALTY_MS = 500;
const MAX_FAILURES = 4;

/** Penalty for each consecutive probe timeout, milliseconds, and the maximum number of timeouts that count. */
const PROBE_TIMEOUT_PENALTY_MS = 50;
const MAX_PROBE_TIMEOUTS = 5;

interface HealthRecord {
  /** Moving average of the logarithm of measured time over estimated time. */
  slowness: number;
  failures: number;
  updatedAt: number;
}

/** Slowness, failures and probe timeouts by target. */
export class TargetHealth {
  private readonly records = new Map<string, HealthRecord>();
  /** Consecutive probe timeouts by target. */
  private readonly probeTimeouts = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records the time to first token of a request. */
  recordFirstToken(candidate: Candidate, firstTokenMs: number, estimateMs: number): void {
    const record = this.decayed(candidate);
    const sample = Math.log(Math.max(MIN_MS, firstTokenMs) / Math.max(MIN_MS, estimateMs));
    record.slowness += NEWEST_WEIGHT * (sample - record.slowness);
  }

  /** Records a failed request. */
  recordFailure(candidate: Candidate): void {
    const record = this.decayed(candidate);
    record.failures = Math.min(MAX_FAILURES, record.failures + 1);
  }

  /** Records a probe that timed out. */
  recordProbeTimeout(candidate: Candidate): void {
    const count = (this.probeTimeouts.get(candidate.name) ?? 0) + 1;
    this.probeTimeouts.set(candidate.name, Math.min(MAX_PROBE_TIMEOUTS, count));
  }

  /** Records an answered probe. */
  recordProbeAnswer(candidate: Candidate): void {
    this.probeTimeouts.delete(candidate.name);
  }

  /** Removes a target that was replaced. */
  forget(candidate: Candidate): void {
    this.records.delete(candidate.name);
    this.probeTimeouts.delete(candidate.name);
  }

  /** Factor for the estimates of a target, at least 1. */
  factor(candidate: Candidate): number {
    const record = this.records.get(candidate.name);
    if (record === undefined) return 1;
    const factor = Math.exp((record.slowness - this.medianSlowness()) * this.decayFactor(record));
    return factor < MAX_NOISE_FACTOR ? 1 : Math.min(MAX_FACTOR, factor);
  }

  /** Milliseconds to add to an estimate for recent failures and probe timeouts. */
  penaltyMs(candidate: Candidate): number {
    const record = this.records.get(candidate.name);
    const failures = record === undefined ? 0 : record.failures * this.decayFactor(record);
    return (
      FAILURE_PENALTY_MS * failures + PROBE_TIMEOUT_PENALTY_MS * (this.probeTimeouts.get(candidate.name) ?? 0)
    );
  }

  /**
   * Median slowness of all targets: an error of the estimate that affects all targets makes none of them slow. With
   * fewer than two targets to compare, estimates are assumed to be correct, so that another target is tried.
   */
  private medianSlowness(): number {
    if (this.records.size < 2) return 0;
    const all = [...this.records.values()].map((record) => record.slowness).sort((a, b) => a - b);
    return all[Math.floor((all.length - 1) / 2)] ?? 0;
  }

  private decayed(candidate: Candidate): HealthRecord {
    const now = this.clock.monotonic();
    const known = this.records.get(candidate.name) ?? { slowness: 0, failures: 0, updatedAt: now };
    const factor = this.decayFactor(known);
    const record = { slowness: known.slowness * factor, failures: known.failures * factor, updatedAt: now };
    this.records.set(candidate.name, record);
    return record;
  }

  private decayFactor(record: HealthRecord): number {
    return Math.exp((record.updatedAt - this.clock.monotonic()) / DECAY_MS);
  }
}
