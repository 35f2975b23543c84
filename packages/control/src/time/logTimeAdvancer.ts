/** Advances the log time while this replica leads. */
import type { Clock, Log } from '@jasmineroute/core';
import { controlEvents } from '../events.js';
import type { CommandLog, Proposer } from '../log/index.js';
import { MAX_STEP_MS } from '../state/index.js';
import type { ControlState } from '../state/index.js';

/** Interval between two steps, milliseconds. */
const STEP_INTERVAL_MS = 1_000;

/**
 * Advances the log time by differences of the monotonic clock. A step is measured from the moment at which this replica
 * applied the log time that the step starts from, never from an earlier one, and is at most `MAX_STEP_MS`. So the log time
 * never runs ahead of real time: a jump of the wall clock has no effect, a leader that was paused adds one step at most, and
 * of two leaders only one advances a given log time. A lease may last longer than requested, never shorter.
 */
export class LogTimeAdvancer {
  private lastStepAt: number;
  private readonly abort = new AbortController();

  constructor(
    private readonly state: ControlState,
    private readonly log: CommandLog,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly events: Log,
  ) {
    this.lastStepAt = clock.monotonic();
    state.onTime(() => {
      this.lastStepAt = clock.monotonic();
    });
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { signal } = this.abort;
    for (;;) {
      await this.clock.sleep(STEP_INTERVAL_MS, signal).catch(() => undefined);
      if (signal.aborted) return;
      if (this.log.status().state === 'leader' && this.state.hasPendingExpiry()) await this.step();
    }
  }

  stop(): void {
    this.abort.abort();
  }

  private async step(): Promise<void> {
    const fromMs = BigInt(this.state.now());
    const elapsed = Math.floor(this.clock.monotonic() - this.lastStepAt);
    const stepMs = Math.min(elapsed, MAX_STEP_MS);
    if (stepMs <= 0) return;
    const moved = await this.proposer.propose('advance', { fromMs, stepMs });
    if (moved.isErr()) this.events.event(controlEvents.timeNotAdvanced, { cause: moved.error.message });
  }
}
