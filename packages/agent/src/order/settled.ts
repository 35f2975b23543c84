/** A list of names that follows changes only once they have lasted. */
import type { Clock } from '@jasmineroute/core';

/**
 * Without it, a target that is gone for a few seconds would make others unload and load weights, minutes of
 * work each, and again when it is back.
 */
export class SettledNames {
  private settled: readonly string[] | undefined;
  private pending = '';
  private since = 0;

  constructor(
    private readonly clock: Clock,
    private readonly settleMs: number,
  ) {}

  /** Takes the newest list. @returns the settled one; undefined until there is one. */
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
