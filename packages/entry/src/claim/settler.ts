/** Records outcomes of claimed attempts, however long the control instances are out of reach. */
import type { Result } from 'neverthrow';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { entryEvents } from '../events.js';

/** One outcome to record. */
export interface Settling {
  readonly attemptId: string;
  /** Sends it once. */
  readonly send: () => Promise<Result<unknown, Fault>>;
}

interface Pending extends Settling {
  readonly over: () => void;
}

/** Outcomes sent at once. */
const WORKERS = 16;
/** Outcomes that wait; past it the oldest is given up. */
const MOST_WAITING = 20_000;
const LEAST_PAUSE_MS = 250;
const MOST_PAUSE_MS = 5_000;

/** Whether nothing more is to be sent: a fault without a cause is what the control instances answered themselves. */
function isOver(result: Result<unknown, Fault>): boolean {
  return result.isOk() || result.error.cause === undefined;
}

/**
 * Sends outcomes until they are recorded. What goes wrong without the bounds: while the control instances
 * are out of reach every call leaves an outcome behind, and all of them sent again and again at once keep the
 * control instances from recovering. What goes wrong without the patience: an outcome that is given up
 * leaves its key taken, and the caller's resends are refused as running until the window ends.
 */
export class Settler {
  private readonly waiting: Pending[] = [];
  private workers = 0;
  private open = 0;
  private readonly idleWaiters = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Outcomes that are not recorded yet. */
  get size(): number {
    return this.open;
  }

  /** Takes an outcome over. Resolves when it is recorded or given up. */
  settle(settling: Settling): Promise<void> {
    this.open += 1;
    return new Promise((resolve) => {
      this.waiting.push({ ...settling, over: resolve });
      const dropped = this.waiting.length > MOST_WAITING ? this.waiting.shift() : undefined;
      if (dropped !== undefined) this.giveUp(dropped);
      if (this.workers < WORKERS) void this.work();
    });
  }

  /** Resolves when all outcomes are recorded, or after `ms`. */
  async idle(ms: number): Promise<void> {
    if (this.open === 0) return;
    let wake: () => void = () => undefined;
    const empty = new Promise<void>((resolve) => {
      wake = resolve;
    });
    this.idleWaiters.add(wake);
    const calledOff = this.clock.after(ms, wake);
    await empty;
    calledOff();
    this.idleWaiters.delete(wake);
    for (const { attemptId } of this.waiting) this.log.event(entryEvents.claimUnsettled, { attemptId });
  }

  private async work(): Promise<void> {
    this.workers += 1;
    let pause = LEAST_PAUSE_MS;
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      if (isOver(await next.send())) {
        this.finish(next);
        pause = LEAST_PAUSE_MS;
        continue;
      }
      this.waiting.push(next);
      await this.clock.sleep(pause);
      pause = Math.min(MOST_PAUSE_MS, pause * 2);
    }
    this.workers -= 1;
  }

  private giveUp(dropped: Pending): void {
    this.log.event(entryEvents.claimUnsettled, { attemptId: dropped.attemptId });
    this.finish(dropped);
  }

  private finish(pending: Pending): void {
    this.open -= 1;
    pending.over();
    if (this.open > 0) return;
    for (const wake of this.idleWaiters) wake();
  }
}
