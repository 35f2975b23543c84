/** The queue before the target: by priority, bounded, and never more at the target than it can take. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** A place at the target. Give it back once. */
export interface Slot {
  release(): void;
}

interface Waiter {
  readonly priority: number;
  readonly settle: (result: Result<Slot, Fault>) => void;
}

/** When callers may come back after the queue was full. */
const RETRY_AFTER_MS = 1_000;

/** Places at the target and those that wait for one. Larger priorities first, then in order of arrival. */
export class Slots {
  private readonly waiters: Waiter[] = [];
  private used = 0;

  /**
   * @param capacity places at the target now; may change.
   * @param limit how many may wait.
   */
  constructor(
    private readonly capacity: () => number,
    private readonly limit: () => number,
  ) {}

  /** Places taken. */
  get running(): number {
    return this.used;
  }

  /** How many wait. */
  get queued(): number {
    return this.waiters.length;
  }

  /**
   * Waits for a place. When the queue is full, the newest of the lowest priority is refused, which may be
   * this one: nothing of it has been sent.
   */
  acquire(priority: number, signal: AbortSignal): Promise<Result<Slot, Fault>> {
    if (signal.aborted) return Promise.resolve(err(cancelled()));
    if (this.used < this.capacity() && this.waiters.length === 0) return Promise.resolve(ok(this.take()));
    return new Promise((resolve) => {
      const onAbort = (): void => {
        this.leave(waiter);
        resolve(err(cancelled()));
      };
      const waiter: Waiter = {
        priority,
        settle: (result) => {
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.enter(waiter);
    });
  }

  /** Looks again whether there is a place; call it when the capacity has grown. */
  refresh(): void {
    while (this.used < this.capacity()) {
      const waiter = this.waiters.shift();
      if (waiter === undefined) return;
      waiter.settle(ok(this.take()));
    }
  }

  private enter(waiter: Waiter): void {
    const at = this.waiters.findIndex((other) => other.priority < waiter.priority);
    this.waiters.splice(at === -1 ? this.waiters.length : at, 0, waiter);
    if (this.waiters.length > this.limit()) {
      const message = 'the queue before the target is full';
      this.waiters.pop()?.settle(err(fault('overloaded', message, { retryAfterMs: RETRY_AFTER_MS })));
    }
    this.refresh();
  }

  private leave(waiter: Waiter): void {
    const at = this.waiters.indexOf(waiter);
    if (at !== -1) this.waiters.splice(at, 1);
  }

  private take(): Slot {
    this.used++;
    let held = true;
    return {
      release: () => {
        if (!held) return;
        held = false;
        this.used--;
        this.refresh();
      },
    };
  }
}

function cancelled(): Fault {
  return fault('cancelled', 'cancelled before it was sent to the target');
}
