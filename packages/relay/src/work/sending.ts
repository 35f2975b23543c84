/** The time between the choice of a target and the first byte that is written to it. */
import type { Fault } from '@jasmineroute/core';
import type { Target, TargetState } from '@jasmineroute/knowledge';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { relayMetrics } from '../metrics.js';
import { notAccepting } from '../target/index.js';
import type { ConnectionQueue, Release } from '../target/index.js';
import type { RelayContext } from './context.js';

/**
 * One sending of a request to a target. It may wait for a connection, or for this process after a stall, so whether the target
 * accepts work and whether the request may be sent are checked again when the first byte is due.
 */
export class Sending {
  /** From the choice of the target to the first byte, milliseconds; undefined: nothing was written. */
  waitedMs: number | undefined;
  /** State of the target when the first byte was due. */
  targetState: TargetState | undefined;
  private readonly chosenAt: number;
  private release: Release | undefined;

  constructor(
    private readonly context: RelayContext,
    readonly target: Target,
    /** The fault of a request that may not be sent any more. */
    private readonly withheld: () => Fault | undefined,
  ) {
    this.chosenAt = context.clock.monotonic();
  }

  /** Waits for a connection; it is in use until `end`. */
  async waitForConnection(
    queue: ConnectionQueue,
    arrivedAt: number,
    signal: AbortSignal,
  ): Promise<Result<void, Fault>> {
    const granted = await queue.acquire(arrivedAt, signal);
    if (granted.isErr()) return err(granted.error);
    this.release = granted.value;
    // A connection may be free before it is read that the caller has left, or that the target is leaving.
    await this.context.stalls.waitUntilCaughtUp();
    return ok();
  }

  /** Checks target and request when the first byte is due. @returns a fault when the request must not be written. */
  check(): Fault | undefined {
    const { clock, knowledge, metrics } = this.context;
    this.targetState = knowledge.targets.stateOf(this.target.id);
    if (this.targetState !== 'ready') return notAccepting(this.targetState);
    const problem = this.withheld();
    if (problem !== undefined) return problem;
    this.waitedMs = clock.monotonic() - this.chosenAt;
    metrics.timing(relayMetrics.sendingWait, this.waitedMs);
    return undefined;
  }

  /** The answer is read or abandoned. */
  end(): void {
    this.release?.();
  }
}
