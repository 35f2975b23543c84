/** The time that a kind of work may take in one turn of the event loop. */
import type { Clock } from '../clock/index.js';

/**
 * Time for which work of one kind is done in a row, milliseconds. The next turn then accepts a connection and reads what has
 * arrived, so that the length of turns does not grow with the work.
 */
const TURN_BUDGET_MS = 10;

/** Most steps of work in one turn. */
const MAX_STEPS_PER_TURN = 32;

/** Limits work by time. A limit by number would let the work done depend on how long other work makes the turns. */
export class TurnBudget {
  /** Time at which the work of the current turn began. */
  private startedAt: number | undefined;
  private pendingSteps = 0;

  constructor(private readonly clock: Clock) {}

  /** Whether there is time left in the current turn. */
  hasTime(): boolean {
    return this.startedAt === undefined || this.clock.monotonic() - this.startedAt < TURN_BUDGET_MS;
  }

  /** Work begins now. */
  begin(): void {
    if (this.startedAt !== undefined) return;
    this.startedAt = this.clock.monotonic();
    setImmediate(() => {
      this.startedAt = undefined;
    });
  }

  /** Calls `step` in the next turn, so many times at most, unless calls are due already. Promises settle between two calls. */
  schedule(steps: number, step: () => void): void {
    if (this.pendingSteps > 0) return;
    this.pendingSteps = Math.min(steps, MAX_STEPS_PER_TURN);
    for (let left = this.pendingSteps; left > 0; left -= 1)
      setImmediate(() => {
        this.pendingSteps -= 1;
        step();
      });
  }
}
