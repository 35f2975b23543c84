/** Moves the state's time on while this replica leads. */
import type { Clock, Log } from '@jasmineroute/core';
import { controlEvents } from '../events.js';
import type { CommandLog, Proposer } from '../log/index.js';
import { MAX_STEP_MS } from '../state/index.js';
import type { ControlState } from '../state/index.js';

/** Time between two steps, milliseconds. */
const TICK_MS = 1_000;

/**
 * The state's time, by monotonic differences. A step counts from when this replica saw the time it starts
 * from, never from an earlier moment, and no step is longer than `MAX_STEP_MS`. So the state's time never
 * runs ahead of real time: a wall clock that jumps is not read, a leader that was paused adds one step at
 * most, and of two leaders only one moves a given time on. A lease may last longer than asked, never shorter.
 */
export class TimeKeeper {
  private seenAt: number;
  private readonly abort = new AbortController();

  constructor(
    private readonly state: ControlState,
    private readonly log: CommandLog,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly events: Log,
  ) {
    this.seenAt = clock.monotonic();
    state.onTime(() => {
      this.seenAt = clock.monotonic();
    });
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { signal } = this.abort;
    for (;;) {
      await this.clock.sleep(TICK_MS, signal).catch(() => undefined);
      if (signal.aborted) return;
      if (this.log.status().state === 'leader' && this.state.expectsTime()) await this.step();
    }
  }

  stop(): void {
    this.abort.abort();
  }

  private async step(): Promise<void> {
    const fromMs = BigInt(this.state.now());
    const elapsed = Math.floor(this.clock.monotonic() - this.seenAt);
    const stepMs = Math.min(elapsed, MAX_STEP_MS);
    if (stepMs <= 0) return;
    const moved = await this.proposer.propose('advance', { fromMs, stepMs });
    if (moved.isErr()) this.events.event(controlEvents.timeNotAdvanced, { cause: moved.error.message });
  }
}
