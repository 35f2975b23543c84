/** Holds requests that arrive before a newly started entry knows the configuration and its targets. */
import type { Clock } from '@jasmineroute/core';
import type { ClusterView } from '@jasmineroute/knowledge';

/**
 * Time after start within which an entry receives its configuration and targets, milliseconds: control instances that
 * start at the same moment have to answer first, and each target contacts one of them within a heartbeat interval.
 */
export const STARTUP_GRACE_MS = 2_000;

/**
 * After a loss of all instances, callers return to the first entry that listens, before it knows a target. A refusal
 * would use up their last retry. After the grace period missing targets are real, and requests are refused at once.
 */
export class StartupGrace {
  /** Monotonic time at which the grace period ends. */
  readonly endsAt: number;
  private readonly waiting = new Set<() => void>();

  constructor(
    knowledge: ClusterView,
    private readonly clock: Clock,
  ) {
    this.endsAt = clock.monotonic() + STARTUP_GRACE_MS;
    knowledge.onEvent(() => {
      for (const check of this.waiting) check();
    });
  }

  /**
   * Waits until a condition is met, at most to the end of the grace period; `onWait` is called if it is not met at
   * once.
   * @returns whether the condition is met.
   */
  async until(
    isMet: () => boolean,
    signal: AbortSignal,
    onWait: (remainingMs: number) => void = () => undefined,
  ): Promise<boolean> {
    const remainingMs = this.endsAt - this.clock.monotonic();
    if (isMet() || remainingMs <= 0 || signal.aborted) return isMet();
    onWait(remainingMs);
    await new Promise<void>((resolve) => {
      const end = (): void => {
        cancelTimer();
        this.waiting.delete(check);
        signal.removeEventListener('abort', end);
        resolve();
      };
      const check = (): void => {
        if (isMet()) end();
      };
      // The timer ends the wait without checking the clock, as it may fire a fraction of a millisecond early.
      const cancelTimer = this.clock.after(remainingMs, end);
      this.waiting.add(check);
      signal.addEventListener('abort', end);
    });
    return isMet();
  }
}
