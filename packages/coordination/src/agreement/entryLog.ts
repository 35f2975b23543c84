/** The log in memory: the entries after the base, the last position covered by a snapshot. */
import type { Configuration, Entry } from '../gen/agreement/agreement_pb.js';
import { EntryKind } from '../gen/agreement/agreement_pb.js';

/** A position in the log. */
export interface Position {
  readonly index: bigint;
  readonly term: bigint;
}

/** A configuration and the index of the entry that contains it. */
export interface LoggedConfiguration {
  readonly index: bigint;
  readonly configuration?: Configuration;
}

/** Consecutive entries in memory. */
export class EntryLog {
  private entries: Entry[] = [];
  private base: Position = { index: 0n, term: 0n };
  private baseConfiguration: Configuration | undefined;
  private newestConfiguration: LoggedConfiguration = { index: 0n, configuration: undefined };

  /** The base: the last position before the first entry in memory. */
  get start(): Position {
    return this.base;
  }

  /** Position of the last entry. */
  get last(): Position {
    const entry = this.entries.at(-1);
    return entry === undefined ? this.base : { index: entry.index, term: entry.term };
  }

  /** The latest configuration in the log, committed or not. */
  configuration(): LoggedConfiguration {
    return this.newestConfiguration;
  }

  /** The configuration in effect at an index in memory. */
  configurationAt(index: bigint): Configuration | undefined {
    const isBefore = (entry: Entry): boolean =>
      entry.kind === EntryKind.CONFIGURATION && entry.index <= index;
    return this.entries.findLast(isBefore)?.configuration ?? this.baseConfiguration;
  }

  /** The entry at an index, if it is in memory. */
  at(index: bigint): Entry | undefined {
    const offset = Number(index - this.base.index) - 1;
    return offset < 0 ? undefined : this.entries[offset];
  }

  /** Term at an index; undefined before the base and after the end. */
  termAt(index: bigint): bigint | undefined {
    if (index === this.base.index) return this.base.term;
    return this.at(index)?.term;
  }

  /** Whether a log that ends at `other` is at least as up-to-date as this one (Raft, section 5.4.1). */
  isCoveredBy(other: Position): boolean {
    const { index, term } = this.last;
    return other.term > term || (other.term === term && other.index >= index);
  }

  /** Entries from an index on, limited in number and in bytes of commands; at least one if there is one. */
  slice(from: bigint, maxEntries: number, maxBytes: number): Entry[] {
    const start = Number(from - this.base.index) - 1;
    const candidates = this.entries.slice(start, start + maxEntries);
    let bytes = 0;
    const end = candidates.findIndex((entry, position) => {
      bytes += entry.command.length;
      return position > 0 && bytes > maxBytes;
    });
    return end < 0 ? candidates : candidates.slice(0, end);
  }

  /** All entries in memory. */
  all(): readonly Entry[] {
    return this.entries;
  }

  /** Bytes of the commands after an index. */
  bytesAfter(index: bigint): number {
    const start = Math.max(0, Number(index - this.base.index));
    let bytes = 0;
    for (let at = start; at < this.entries.length; at += 1) bytes += this.entries[at]?.command.length ?? 0;
    return bytes;
  }

  /** The first index from which the entries up to `last` keep the limits on number and bytes of commands. */
  firstWithin(last: bigint, maxEntries: number, maxBytes: number): bigint {
    let first = last + 1n;
    let bytes = 0;
    for (let count = 0; count < maxEntries; count += 1) {
      const entry = this.at(first - 1n);
      bytes += entry?.command.length ?? 0;
      if (entry === undefined || bytes > maxBytes) break;
      first -= 1n;
    }
    return first;
  }

  append(entries: readonly Entry[]): void {
    for (const entry of entries) {
      this.entries.push(entry);
      if (entry.kind === EntryKind.CONFIGURATION) this.newestConfiguration = entry;
    }
  }

  /** Removes the entries from an index on. */
  truncate(index: bigint): void {
    this.entries.length = Math.max(0, Number(index - this.base.index) - 1);
    this.updateNewestConfiguration();
  }

  /** Moves the base forward to an index in memory and drops the entries up to it. */
  compact(index: bigint): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.base.index) return;
    const configuration = this.configurationAt(index);
    this.entries = this.entries.slice(Number(index - this.base.index));
    this.base = { index, term };
    this.baseConfiguration = configuration;
    this.updateNewestConfiguration();
  }

  /** Replaces the log by an empty one after a snapshot. */
  reset(base: Position, configuration: Configuration | undefined): void {
    this.entries = [];
    this.base = base;
    this.baseConfiguration = configuration;
    this.updateNewestConfiguration();
  }

  /** Index of the first entry in memory with the same term as an index. */
  startOfTerm(index: bigint): bigint {
    const term = this.termAt(index);
    let first = index;
    while (first - 1n > this.base.index && this.termAt(first - 1n) === term) first -= 1n;
    return first;
  }

  private updateNewestConfiguration(): void {
    const entry = this.entries.findLast(({ kind }) => kind === EntryKind.CONFIGURATION);
    this.newestConfiguration = entry ?? { index: this.base.index, configuration: this.baseConfiguration };
  }
}
