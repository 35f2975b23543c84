/** Records outcomes of claimed attempts, however long the control instances are out of reach. */
import type { Result } from 'neverthrow';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { entryEvents } from '../events.js';

/** One outcome to record. */
export interface PendingSettlement {
  readonly attemptId: string;
  /** Sends it once. */
  readonly send: () => Promise<Result<unknown, Fault>>;
}

interface QueuedSettlement extends PendingSettlement {
  readonly onFinished: () => void;
}

/** Outcomes sent at once. */
const MAX_WORKERS = 16;
/** Outcomes that wait; past it the oldest is given up. */
const MAX_QUEUED = 20_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5_000;

/** Whether nothing more is to be sent: a fault without a cause is what the control instances answered themselves. */
function isFinal(result: Result<unknown, Fault>): boolean {
  return result.isOk() || result.error.cause === undefined;
}

/**
 * Sends outcomes until they are recorded. What goes wrong without the bounds: while the control instances
 * are out of reach every call leaves an outcome behind, and all of them sent again and again at once keep the
 * control instances from recovering. What goes wrong without the patience: an outcome that is given up
 * leaves its key taken, and the caller's resends are refused as running until the window ends.
 */
export class Settler {
  private readonly queue: QueuedSettlement[] = [];
  private workers = 0;
  private unrecorded = 0;
  private readonly idleWaiters = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Outcomes that are not recorded yet. */
  get size(): number {
    return this.unrecorded;
  }

  /** Takes an outcome over. Resolves when it is recorded or given up. */
  settle(settlement: PendingSettlement): Promise<void> {
    this.unrecorded += 1;
    return new Promise((resolve) => {
      this.queue.push({ ...settlement, onFinished: resolve });
      const dropped = this.queue.length > MAX_QUEUED ? this.queue.shift() : undefined;
      if (dropped !== undefined) this.giveUp(dropped);
      if (this.workers < MAX_WORKERS) void this.runWorker();
    });
  }

  /** Resolves when all outcomes are recorded, or after `ms`. */
  async idle(ms: number): Promise<void> {
    if (this.unrecorded === 0) return;
    let wake: () => void = () => undefined;
    const empty = new Promise<void>((resolve) => {
      wake = resolve;
    });
    this.idleWaiters.add(wake);
    const cancelTimer = this.clock.after(ms, wake);
    await empty;
    cancelTimer();
    this.idleWaiters.delete(wake);
    for (const { attemptId } of this.queue) this.log.event(entryEvents.claimUnsettled, { attemptId });
  }

  private async runWorker(): Promise<void> {
    this.workers += 1;
    let pause = MIN_BACKOFF_MS;
    for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
      if (isFinal(await next.send())) {
        this.finish(next);
        pause = MIN_BACKOFF_MS;
        continue;
      }
      this.queue.push(next);
      await this.clock.sleep(pause);
      pause = Math.min(MAX_BACKOFF_MS, pause * 2);
    }
    this.workers -= 1;
  }

  private giveUp(dropped: QueuedSettlement): void {
    this.log.event(entryEvents.claimUnsettled, { attemptId: dropped.attemptId });
    this.finish(dropped);
  }

  private finish(pending: QueuedSettlement): void {
    this.unrecorded -= 1;
    pending.onFinished();
    if (this.unrecorded > 0) return;
    for (const wake of this.idleWaiters) wake();
  }
}
