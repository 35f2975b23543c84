/** Wakes the streams of followers, none of which misses a change that comes while an event is on its way out. */
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';

/** Changes that some followers are to hear of together. */
export class News {
  private readonly signal = new ChangeSignal();
  private count = 0;

  /** How often there was news. */
  version(): number {
    return this.count;
  }

  readonly raise = (): void => {
    this.count += 1;
    this.signal.raise();
  };

  /** Resolves at once when there was news since `version`, else at the next, after `ms` milliseconds, or at the abort. */
  async after(version: number, clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    if (version === this.count) await this.signal.wait(clock, ms, signal);
  }
}
