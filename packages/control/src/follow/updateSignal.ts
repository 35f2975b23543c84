/**
 * Wakes the streams of followers. A version counter keeps a stream from missing a change that arrives while it sends an
 * event.
 */
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';

/** Signals updates to the streams of one kind of followers. */
export class UpdateSignal {
  private readonly changeSignal = new ChangeSignal();
  private count = 0;

  /** Number of notifications so far. */
  version(): number {
    return this.count;
  }

  readonly notify = (): void => {
    this.count += 1;
    this.changeSignal.raise();
  };

  /** Resolves at once after a notification since `version`, else at the next one, after `ms` milliseconds or at the abort. */
  async waitForChange(version: number, clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    if (version === this.count) await this.changeSignal.wait(clock, ms, signal);
  }
}
