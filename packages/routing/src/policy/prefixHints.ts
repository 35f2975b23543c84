/** Where this entry has sent prefixes lately. Only a hint: engines evict within seconds, and probes tell. */
import type { Level } from '../prefix/index.js';
import type { Candidate } from './policy.js';

/** Prefixes that are remembered; about 100 bytes each. */
const MAX_PREFIXES = 8_192;

/** Targets that are remembered for a prefix. */
const MAX_TARGETS = 3;

/** A prefix that has been seen, and where it went. */
export interface Hint {
  readonly level: Level;
  /** Candidates that it went to, newest first. */
  readonly candidates: readonly Candidate[];
}

/** Bounded memory of prefixes and targets; the prefix least lately used is forgotten first. */
export class PrefixHints {
  private readonly targets = new Map<number, readonly string[]>();

  constructor(private readonly capacity = MAX_PREFIXES) {}

  /** A prompt with these levels went to a target. */
  record(levels: readonly Level[], target: string): void {
    for (const { key } of levels) {
      const before = this.targets.get(key) ?? [];
      this.targets.delete(key);
      this.targets.set(key, [target, ...before.filter((name) => name !== target)].slice(0, MAX_TARGETS));
    }
    this.trim();
  }

  /** The deepest level that has been seen; undefined when none has. */
  deepest(levels: readonly Level[], candidates: readonly Candidate[]): Hint | undefined {
    for (const level of levels) {
      const names = this.targets.get(level.key);
      if (names === undefined) continue;
      const known = names.map((name) => candidates.find((candidate) => candidate.name === name));
      return { level, candidates: known.filter((candidate) => candidate !== undefined) };
    }
    return undefined;
  }

  /** Blocks of the deepest of these levels that went to a target; 0: none. */
  blocksAt(levels: readonly Level[], target: string): number {
    const level = levels.find(({ key }) => this.targets.get(key)?.includes(target));
    return level?.blocks ?? 0;
  }

  get size(): number {
    return this.targets.size;
  }

  private trim(): void {
    for (const key of this.targets.keys()) {
      if (this.targets.size <= this.capacity) return;
      this.targets.delete(key);
    }
  }
}
