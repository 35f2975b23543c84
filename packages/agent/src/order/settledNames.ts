/** Debounces changes of a list of names. */
import type { Clock } from '@jasmineroute/core';

/**
 * Adopts a list once it has stayed the same for `settleMs`. Without this, a target that is absent for a few
 * seconds would make others unload and load weights, which takes minutes, and again when it returns.
 */
export class SettledNames {
  private settled: readonly string[] | undefined;
  private pending = '';
  private since = 0;

  constructor(
    private readonly clock: Clock,
    private readonly settleMs: number,
  ) {}

  /** Records the current list. @returns the settled list; undefined until there is one. */
  update(names: readonly string[]): readonly string[] | undefined {
    const text = JSON.stringify(names);
    const now = this.clock.monotonic();
    if (text !== this.pending) {
      this.pending = text;
      this.since = now;
    }
    if (now - this.since >= this.settleMs) this.settled = names;
    return this.settled;
  }
}
