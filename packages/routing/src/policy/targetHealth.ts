/**
 * Targets that answer worse than they promise.
 *
 * What goes wrong: an engine or its network gets slow or fails while its reported load looks fine, even idle,
 * for it answers nothing. Its first tokens come later than estimated, by a larger factor than its peers'. Its
 * estimates are multiplied by that factor here. The factor fades, so that the target is tried again.
 */
import type { Clock } from '@jasmineroute/core';
import type { Candidate } from './policy.js';

/** Weight of the newest measurement. */
const NEWEST = 0.1;

/** Estimates below this many milliseconds are rounding. */
const LEAST_MS = 50;

/** A factor up to this is noise, and none above the largest is believed. */
const NOISE = 2;
const LARGEST = 8;

/** Time in which a factor or a failure fades to 1/e. */
const FADE_MS = 10_000;

/** Milliseconds that a target is taken to be slower for each recent failure, and how many count. */
const FAILURE_MS = 500;
const MOST_FAILURES = 4;

/** Milliseconds that a target is taken to be slower for each probe in a row that it has not answered in time. */
const SILENCE_MS = 50;
const MOST_SILENCES = 5;

interface Record {
  /** Logarithm of measured over estimated time. */
  slowness: number;
  failures: number;
  at: number;
}

/** Slowness and failures by target. */
export class TargetHealth {
  private readonly records = new Map<string, Record>();
  /** Probes in a row without an answer, by target. */
  private readonly silences = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** A first token came. */
  measured(candidate: Candidate, firstTokenMs: number, estimateMs: number): void {
    const record = this.faded(candidate);
    const sample = Math.log(Math.max(LEAST_MS, firstTokenMs) / Math.max(LEAST_MS, estimateMs));
    record.slowness += NEWEST * (sample - record.slowness);
  }

  /** A request to the target failed. */
  failed(candidate: Candidate): void {
    const record = this.faded(candidate);
    record.failures = Math.min(MOST_FAILURES, record.failures + 1);
  }

  /** The target has not answered a probe in time. */
  silent(candidate: Candidate): void {
    const count = (this.silences.get(candidate.name) ?? 0) + 1;
    this.silences.set(candidate.name, Math.min(MOST_SILENCES, count));
  }

  /** The target has answered a probe. */
  heard(candidate: Candidate): void {
    this.silences.delete(candidate.name);
  }

  /** The target was replaced or has gone. */
  forget(candidate: Candidate): void {
    this.records.delete(candidate.name);
    this.silences.delete(candidate.name);
  }

  /** What to multiply an estimate by, from 1. */
  factor(candidate: Candidate): number {
    const record = this.records.get(candidate.name);
    if (record === undefined) return 1;
    const factor = Math.exp((record.slowness - this.usual()) * this.left(record));
    return factor < NOISE ? 1 : Math.min(LARGEST, factor);
  }

  /** Milliseconds to add to an estimate for recent failures and silence. */
  penaltyMs(candidate: Candidate): number {
    const record = this.records.get(candidate.name);
    const failures = record === undefined ? 0 : record.failures * this.left(record);
    return FAILURE_MS * failures + SILENCE_MS * (this.silences.get(candidate.name) ?? 0);
  }

  /**
   * Median slowness of all targets: a fault of the estimate that all share is nobody's slowness. Without a peer
   * to compare with, estimates are taken to be right, so that a peer is tried.
   */
  private usual(): number {
    if (this.records.size < 2) return 0;
    const all = [...this.records.values()].map((record) => record.slowness).sort((a, b) => a - b);
    return all[Math.floor((all.length - 1) / 2)] ?? 0;
  }

  private faded(candidate: Candidate): Record {
    const now = this.clock.monotonic();
    const known = this.records.get(candidate.name) ?? { slowness: 0, failures: 0, at: now };
    const left = this.left(known);
    const record = { slowness: known.slowness * left, failures: known.failures * left, at: now };
    this.records.set(candidate.name, record);
    return record;
  }

  private left(record: Record): number {
    return Math.exp((record.at - this.clock.monotonic()) / FADE_MS);
  }
}
