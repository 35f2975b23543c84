/** Lets requests wait that come before an entry which has just started knows where they go. */
import type { Clock } from '@jasmineroute/core';
import type { Knowledge } from '@jasmineroute/knowledge';

/**
 * Time from its start in which an entry learns of the configuration and of targets, milliseconds: control instances that
 * start at the same moment have to answer first, and each target calls one of them within a heartbeat.
 */
export const LEARN_MS = 2_000;

/**
 * When all instances are lost at once, callers return to the first entry that listens, before it knows a target. Refused,
 * they use up their last retry. Later than that a lack of targets is a fact, and refused at once.
 */
export class Learning {
  private readonly endsAt: number;
  private readonly waiting = new Set<() => void>();

  constructor(
    knowledge: Knowledge,
    private readonly clock: Clock,
  ) {
    this.endsAt = clock.monotonic() + LEARN_MS;
    knowledge.onNews(() => {
      for (const look of this.waiting) look();
    });
  }

  /**
   * Waits until something is known, at most until the time to learn is over; `onWait` hears when it is not known at once.
   * @returns whether it is known.
   */
  async until(
    isKnown: () => boolean,
    signal: AbortSignal,
    onWait: (leftMs: number) => void = () => undefined,
  ): Promise<boolean> {
    const leftMs = this.endsAt - this.clock.monotonic();
    if (isKnown() || leftMs <= 0 || signal.aborted) return isKnown();
    onWait(leftMs);
    await new Promise<void>((resolve) => {
      const end = (): void => {
        calledOff();
        this.waiting.delete(look);
        signal.removeEventListener('abort', end);
        resolve();
      };
      const look = (): void => {
        if (isKnown()) end();
      };
      // The timer ends the wait by itself: it may fire a fraction of a millisecond before the clock says so.
      const calledOff = this.clock.after(leftMs, end);
      this.waiting.add(look);
      signal.addEventListener('abort', end);
    });
    return isKnown();
  }
}
