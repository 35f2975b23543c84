/** One event for all that changes within a time. */
import type { Clock } from '@jasmineroute/core';

/** Calls back once, a time after the first of several changes. */
export class Gathering {
  private isGathering = false;

  /** @param ms how long it waits from the first change on, milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly ms: () => number,
    private readonly callback: () => void,
  ) {}

  /** Something changed. */
  readonly note = (): void => {
    if (this.isGathering) return;
    this.isGathering = true;
    this.clock.after(this.ms(), () => {
      this.isGathering = false;
      this.callback();
    });
  };
}
