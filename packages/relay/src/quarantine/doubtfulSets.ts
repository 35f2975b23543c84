/** Chooses which doubtful requests are tried first: those that are the least likely to crash a target. */
import type { Clock } from '@jasmineroute/core';

/** Time for which a request that is doubtful for several reasons waits for one with fewer crashes, milliseconds. */
const WAIT_MS = 1_000;

/** The same for the last trial of a part together with others, as none is left for a request that has that part alone. */
const LAST_WAIT_MS = 30_000;

/** Time for which requests with more crashes give way to one that came, milliseconds. */
const PRECEDENCE_MS = 3_000;

/** Time for which a set is remembered after it came last, milliseconds. */
const RETENTION_MS = 10_000;

/** A request or prompt part with crashes that count against it. */
export interface DoubtfulSubject {
  readonly fingerprint: string;
  readonly crashes: number;
}

interface DoubtfulSet {
  readonly fingerprints: ReadonlySet<string>;
  readonly firstAt: number;
  readonly lastAt: number;
  /** Crashes of all of them. */
  readonly crashes: number;
}

/**
 * Requests with their parts, as far as crashes count against them. A crash under several of these does not tell which one is its
 * cause, while an answer clears them all. So of requests that share a doubtful part the one with the fewest crashes is tried.
 */
export class DoubtfulSets {
  private readonly sets = new Map<string, DoubtfulSet>();

  constructor(private readonly clock: Clock) {}

  /**
   * Whether a request may be tried now.
   * @param doubtful the request and its parts, as far as crashes count against them.
   * @param isLast whether it is the last trial of a part of it.
   */
  mayBeTried(doubtful: readonly DoubtfulSubject[], isLast: boolean): boolean {
    const now = this.clock.monotonic();
    this.forget(now - RETENTION_MS);
    const own = this.record(doubtful, now);
    if (own.fingerprints.size <= 1) return true;
    if (now - own.firstAt < (isLast ? LAST_WAIT_MS : WAIT_MS)) return false;
    const recent = [...this.sets.values()].filter(({ lastAt }) => now - lastAt < PRECEDENCE_MS);
    return !recent.some(
      (other) => other.crashes < own.crashes && isSharing(other.fingerprints, own.fingerprints),
    );
  }

  private record(doubtful: readonly DoubtfulSubject[], now: number): DoubtfulSet {
    const fingerprints = doubtful.map(({ fingerprint }) => fingerprint).sort();
    const key = fingerprints.join();
    const firstAt = this.sets.get(key)?.firstAt ?? now;
    const crashes = doubtful.reduce((sum, subject) => sum + subject.crashes, 0);
    const own = { fingerprints: new Set(fingerprints), firstAt, lastAt: now, crashes };
    this.sets.set(key, own);
    return own;
  }

  private forget(before: number): void {
    for (const [key, { lastAt }] of this.sets) if (lastAt < before) this.sets.delete(key);
  }
}

const isSharing = (one: ReadonlySet<string>, other: ReadonlySet<string>): boolean =>
  [...one].some((fingerprint) => other.has(fingerprint));
