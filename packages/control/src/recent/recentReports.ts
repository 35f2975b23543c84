/** Reports that arrive several times a second and are outdated after a second: loads of targets, work of entries. */
import type { Clock } from '@jasmineroute/core';

/** Maximum number of keys that are held; the one with the oldest report is evicted. */
const MAX_KEYS = 10_000;

interface Entry<Report> {
  readonly report: Report;
  readonly sequence: number;
  readonly isDirect: boolean;
  readonly receivedAt: number;
}

/** The last report under each key. Held in memory only. */
export class RecentReports<Report> {
  private readonly entries = new Map<string, Entry<Report>>();
  private readonly listeners = new Set<() => void>();
  private lastSequence = 0;

  constructor(private readonly clock: Clock) {}

  /** Sequence number of the newest report. */
  lastSequenceNumber(): number {
    return this.lastSequence;
  }

  /** Reports after a sequence number, both direct ones and those passed on by other instances. */
  since(sequence: number): Report[] {
    return this.after(sequence).map(({ report }) => report);
  }

  /** Reports after a sequence number that were sent directly to this instance. */
  directSince(sequence: number): Report[] {
    return this.after(sequence)
      .filter(({ isDirect }) => isDirect)
      .map(({ report }) => report);
  }

  /** Reports of the last `ms` milliseconds. */
  within(ms: number): Report[] {
    const since = this.clock.monotonic() - ms;
    return [...this.entries.values()]
      .filter(({ receivedAt }) => receivedAt > since)
      .map(({ report }) => report);
  }

  /** The report that arrived under a key within the last `ms` milliseconds; undefined: none did. */
  recent(key: string, ms: number): Report | undefined {
    const entry = this.entries.get(key);
    if (entry === undefined || this.clock.monotonic() - entry.receivedAt >= ms) return undefined;
    return entry.report;
  }

  /** Records a report; `isDirect`: it was sent to this instance, not passed on by another one. */
  take(key: string, report: Report, isDirect = true): void {
    this.lastSequence += 1;
    this.entries.delete(key);
    this.entries.set(key, {
      report,
      sequence: this.lastSequence,
      isDirect,
      receivedAt: this.clock.monotonic(),
    });
    const [oldest] = this.entries.keys();
    if (this.entries.size > MAX_KEYS && oldest !== undefined) this.entries.delete(oldest);
    for (const listener of this.listeners) listener();
  }

  /** Calls back after each report. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private after(sequence: number): Entry<Report>[] {
    if (sequence === this.lastSequence) return [];
    return [...this.entries.values()].filter((entry) => entry.sequence > sequence);
  }
}
