/** Records outcomes of claimed attempts, retrying while the control instances are unreachable. */
import type { Result } from 'neverthrow';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { entryEvents } from '../events.js';

/** An outcome to record. */
export interface PendingSettlement {
  readonly attemptId: string;
  /** Sends the outcome once. */
  readonly send: () => Promise<Result<unknown, Fault>>;
}

interface QueuedSettlement extends PendingSettlement {
  readonly onFinished: () => void;
}

/** Maximum number of outcomes sent concurrently. */
const MAX_WORKERS = 16;
/** Maximum length of the queue; beyond it the oldest outcome is dropped. */
const MAX_QUEUED = 20_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5_000;

/** Whether no retry is needed: a fault without a cause is the answer of the control instances themselves. */
function isFinal(result: Result<unknown, Fault>): boolean {
  return result.isOk() || result.error.cause === undefined;
}

/**
 * Sends outcomes until they are recorded. Concurrency and queue are bounded because every call leaves an outcome
 * behind while the control instances are unreachable, and retrying all of them at once would keep the control
 * instances from recovering. Retries do not end early because a dropped outcome leaves its key claimed: the caller's
 * retries are then refused as already running until the claim window ends.
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

  /** Number of outcomes that are not recorded yet. */
  get size(): number {
    return this.unrecorded;
  }

  /** Queues an outcome. Resolves when it is recorded or dropped. */
  settle(settlement: PendingSettlement): Promise<void> {
    this.unrecorded += 1;
    return new Promise((resolve) => {
      this.queue.push({ ...settlement, onFinished: resolve });
      const dropped = this.queue.length > MAX_QUEUED ? this.queue.shift() : undefined;
      if (dropped !== undefined) this.giveUp(dropped);
      if (this.workers < MAX_WORKERS) void this.runWorker();
    });
  }

  /** Resolves when all outcomes are recorded, or after `ms` at the latest. */
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
