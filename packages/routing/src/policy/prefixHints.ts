/** Targets to which this entry recently sent prefixes. Only a hint: engines may evict a prefix within seconds. */
import type { Level } from '../prefix/index.js';
import type { Candidate } from './policy.js';

/** Maximum number of prefixes; each takes about 100 bytes. */
const MAX_PREFIXES = 8_192;

/** Maximum number of targets per prefix. */
const MAX_TARGETS = 3;

/** A known prefix and the targets to which it was sent. */
export interface Hint {
  readonly level: Level;
  /** Candidates to which it was sent, most recent first. */
  readonly candidates: readonly Candidate[];
}

/** Bounded LRU map from prefixes to targets. */
export class PrefixHints {
  private readonly targets = new Map<number, readonly string[]>();

  constructor(private readonly capacity = MAX_PREFIXES) {}

  /** Records that a prompt with these levels was sent to a target. */
  record(levels: readonly Level[], target: string): void {
    for (const { key } of levels) {
      const before = this.targets.get(key) ?? [];
      this.targets.delete(key);
      this.targets.set(key, [target, ...before.filter((name) => name !== target)].slice(0, MAX_TARGETS));
    }
    this.trim();
  }

  /** Hint for the deepest known level; undefined when none is known. */
  deepest(levels: readonly Level[], candidates: readonly Candidate[]): Hint | undefined {
    for (const level of levels) {
      const names = this.targets.get(level.key);
      if (names === undefined) continue;
      const known = names.map((name) => candidates.find((candidate) => candidate.name === name));
      return { level, candidates: known.filter((candidate) => candidate !== undefined) };
    }
    return undefined;
  }

  /** Blocks of the deepest of these levels that was sent to a target; 0 if none was. */
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
