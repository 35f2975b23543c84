/** The time between the choice of a target and the first byte that is written to it. */
import type { Target, TargetState } from '@jasmineroute/knowledge';
import { relayMetrics } from '../metrics.js';
import type { RelayContext } from './context.js';

/** One sending of a request to a target. */
export class Sending {
  /** From the choice of the target to the first byte, milliseconds; undefined: nothing was written. */
  waitedMs: number | undefined;
  /** State of the target when the first byte was written. */
  targetState: TargetState | undefined;
  private readonly chosenAt: number;

  constructor(
    private readonly context: RelayContext,
    readonly target: Target,
  ) {
    this.chosenAt = context.clock.monotonic();
  }

  /** Records that the first byte is written now. */
  recordFirstByte(): void {
    const { clock, knowledge, metrics } = this.context;
    this.waitedMs = clock.monotonic() - this.chosenAt;
    this.targetState = knowledge.targets.stateOf(this.target.id);
    metrics.timing(relayMetrics.sendingWait, this.waitedMs);
    metrics.count(relayMetrics.sendings, 1, { state: this.targetState });
  }
}
