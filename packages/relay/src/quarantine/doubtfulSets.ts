/** Chooses which requests with doubtful prompt parts are tried first: those that are the least likely to crash a target. */
import type { Clock } from '@jasmineroute/core';

/** Time for which a request with several doubtful parts waits for one with fewer crashes, milliseconds. */
const WAIT_MS = 1_000;

/** The same for the last trial of several parts, as none is left for a request that has one of them alone. */
const LAST_WAIT_MS = 30_000;

/** Time for which requests with more crashes give way to one that came, milliseconds. */
const PRECEDENCE_MS = 3_000;

/** Time for which a set of parts is remembered after it came last, milliseconds. */
const RETENTION_MS = 10_000;

/** A prompt part with crashes that count against it. */
export interface DoubtfulPart {
  /** Fingerprint. */
  readonly part: string;
  readonly crashes: number;
}

interface DoubtfulSet {
  readonly parts: ReadonlySet<string>;
  readonly firstAt: number;
  readonly lastAt: number;
  /** Crashes of all its parts. */
  readonly crashes: number;
}

/**
 * Doubtful parts as they came together in requests. A crash under several of them does not tell which one is its cause, while an
 * answer clears them all. So of requests that share such a part the one with the fewest crashes of all its parts is tried.
 */
export class DoubtfulSets {
  private readonly sets = new Map<string, DoubtfulSet>();

  constructor(private readonly clock: Clock) {}

  /**
   * Whether a request with these doubtful parts may be tried now.
   * @param isLast whether it is the last trial of several of them.
   */
  mayBeTried(parts: readonly DoubtfulPart[], isLast: boolean): boolean {
    const now = this.clock.monotonic();
    this.forget(now - RETENTION_MS);
    const own = this.record(parts, now);
    if (own.parts.size <= 1) return true;
    if (now - own.firstAt < (isLast ? LAST_WAIT_MS : WAIT_MS)) return false;
    const recent = [...this.sets.values()].filter(({ lastAt }) => now - lastAt < PRECEDENCE_MS);
    return !recent.some((other) => other.crashes < own.crashes && isSharing(other.parts, own.parts));
  }

  private record(parts: readonly DoubtfulPart[], now: number): DoubtfulSet {
    const names = parts.map(({ part }) => part).sort();
    const key = names.join();
    const firstAt = this.sets.get(key)?.firstAt ?? now;
    const crashes = parts.reduce((sum, part) => sum + part.crashes, 0);
    const own = { parts: new Set(names), firstAt, lastAt: now, crashes };
    this.sets.set(key, own);
    return own;
  }

  private forget(before: number): void {
    for (const [key, { lastAt }] of this.sets) if (lastAt < before) this.sets.delete(key);
  }
}

const isSharing = (one: ReadonlySet<string>, other: ReadonlySet<string>): boolean =>
  [...one].some((part) => other.has(part));
