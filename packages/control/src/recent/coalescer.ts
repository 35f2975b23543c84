/** Coalesces several changes into one callback. */
import type { Clock } from '@jasmineroute/core';

/** Calls back once for all changes within a delay after the first one. */
export class Coalescer {
  private isScheduled = false;

  /** @param ms the delay after the first change, milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly ms: () => number,
    private readonly callback: () => void,
  ) {}

  /** Records a change. */
  readonly recordChange = (): void => {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.clock.after(this.ms(), () => {
      this.isScheduled = false;
      this.callback();
    });
  };
}
