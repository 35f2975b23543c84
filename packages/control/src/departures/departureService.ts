/** Targets that leave: which start a leave call means, and whether the call may be acknowledged. */
import type { Log, Metrics } from '@jasmineroute/core';
import { compareStarts, startId } from '@jasmineroute/protocol';
import type { TargetStart } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { controlEvents } from '../events.js';
import { controlMetrics } from '../metrics.js';
import type { KnownStart, LeaveEffect, RelayedTargets, TargetRegistry } from '../targets/index.js';

/**
 * Time after the beginning of a start during which a leave call without a start may be a late one of the start before,
 * milliseconds: calls arrive seconds late.
 */
const LATE_LEAVE_WINDOW_MS = 5_000;

/** Why a leave call has no effect: no instance knows the target, or it may be of the newest start or of the one before. */
type LeaveProblem = 'unknown' | 'ambiguous';

/** What the service reads and changes. */
export interface DepartureParts {
  readonly targets: TargetRegistry;
  /** Targets that other instances report. */
  readonly relayed: RelayedTargets;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Applies the departures of targets. */
export class DepartureService {
  constructor(private readonly parts: DepartureParts) {}

  /**
   * Applies a leave call. A call without a start means the newest start that any instance knows.
   * @returns whether it took effect; otherwise the target has to call again.
   */
  leave(left: TargetStart): boolean {
    const { targets, log, metrics } = this.parts;
    const start = this.startOf(left);
    const effect: LeaveEffect | LeaveProblem = start.isOk() ? targets.leave(start.value) : start.error;
    log.event(controlEvents.leaveReceived, {
      target: left.name,
      born: left.born,
      start: start.isOk() ? startId(start.value) : undefined,
      effect,
    });
    metrics.count(controlMetrics.leaves, 1, { effect });
    return start.isOk();
  }

  /** The start that a leave call means. */
  private startOf(left: TargetStart): Result<TargetStart, LeaveProblem> {
    if (left.born !== undefined) return ok(left);
    const { targets, relayed } = this.parts;
    const known = [...targets.startsOf(left.name), ...relayed.startsOf(left.name)];
    const newest = newestOf(known);
    if (newest === undefined) return err('unknown');
    const hasOlder = known.some(({ start }) => compareStarts(start, newest) < 0);
    const knownMs = Math.max(...known.filter(isOf(newest)).map((one) => one.knownMs));
    return hasOlder && knownMs < LATE_LEAVE_WINDOW_MS ? err('ambiguous') : ok(newest);
  }
}

const isOf =
  (start: TargetStart) =>
  (known: KnownStart): boolean =>
    compareStarts(known.start, start) === 0;

function newestOf(known: readonly KnownStart[]): TargetStart | undefined {
  return known.map(({ start }) => start).sort((a, b) => compareStarts(b, a))[0];
}
