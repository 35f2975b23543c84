/** Targets that drain or leave: which start a call means, and when it may be acknowledged. */
import { create } from '@bufbuild/protobuf';
import type { Log, Metrics } from '@jasmineroute/core';
import { compareStarts, controlMessage, startId } from '@jasmineroute/protocol';
import type { TargetStart } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { controlEvents } from '../events.js';
import { controlMetrics } from '../metrics.js';
import type { Heartbeat, KnownStart, LeaveEffect, RelayedTargets, TargetRegistry } from '../targets/index.js';
import type { DepartureCopies } from './departureCopies.js';
import { departedStart } from './departureStore.js';
import type { DepartureStore } from './departureStore.js';

const { Announcement, DepartureSchema, RecordDeparturesResponseSchema } = controlMessage;

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
  readonly store: DepartureStore;
  readonly copies: Pick<DepartureCopies, 'spread'>;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Applies departures of targets. One is acknowledged once a majority of the voters has it on the disk: whichever processes
 * end then, what is left tells the entries, and no late call of the target brings it back.
 */
export class DepartureService {
  /** Departures that a majority holds, by the id of the start. */
  private readonly settled = new Set<string>();
  /** Copies that are being made, by the id of the start. */
  private readonly copying = new Map<string, Promise<boolean>>();

  constructor(private readonly parts: DepartureParts) {
    this.apply(parts.store.all());
    parts.targets.onRemoved((start) => {
      this.settled.delete(startId(start));
      parts.store.remove(start);
    });
  }

  /** Applies a heartbeat. @returns whether it may be acknowledged. */
  async beat(heartbeat: Heartbeat): Promise<boolean> {
    this.parts.targets.beat(heartbeat);
    return !heartbeat.draining || this.settle(heartbeat, Announcement.DRAINING);
  }

  /**
   * Applies a leave call. A call without a start means the newest start that any instance knows.
   * @returns whether it may be acknowledged; otherwise the target has to call again.
   */
  async leave(left: TargetStart): Promise<boolean> {
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
    if (start.isErr()) return false;
    return effect === 'outdated' || this.settle(start.value, Announcement.LEFT);
  }

  /** Takes departures that another instance was told of. */
  async record({
    departures,
  }: controlMessage.RecordDeparturesRequest): Promise<controlMessage.RecordDeparturesResponse> {
    this.apply(departures);
    const stored = await this.parts.store.store(departures);
    return create(RecordDeparturesResponseSchema, { stored });
  }

  async close(): Promise<void> {
    await this.parts.store.close();
  }

  private apply(departures: readonly controlMessage.Departure[]): void {
    for (const departure of departures)
      this.parts.targets.depart(departedStart(departure), departure.announcement);
  }

  /** Lets a majority hold the departure of a start. @returns whether it does. */
  private settle(start: TargetStart, announcement: controlMessage.Announcement): Promise<boolean> {
    const id = startId(start);
    if (this.settled.has(id)) return Promise.resolve(true);
    const running = this.copying.get(id);
    if (running !== undefined) return running;
    const { store, copies } = this.parts;
    const { name, born } = start;
    const fields = { name, born: born === undefined ? undefined : BigInt(born), announcement };
    const departure = create(DepartureSchema, fields);
    const copied = copies
      .spread(departure, store.store([departure]))
      .then((isSettled) => {
        if (isSettled) this.settled.add(id);
        return isSettled;
      })
      .finally(() => this.copying.delete(id));
    this.copying.set(id, copied);
    return copied;
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
