/** A bounded priority queue that limits concurrent requests to the capacity of the target. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** One unit of the capacity of the target. */
export interface Slot {
  release(): void;
}

interface Waiter {
  readonly priority: number;
  readonly settle: (result: Result<Slot, Fault>) => void;
}

/** Suggested pause before a retry when the queue is full. */
const RETRY_AFTER_MS = 1_000;

/** Slots of the target and the requests waiting for one, by descending priority, then in order of arrival. */
export class Slots {
  private readonly waiters: Waiter[] = [];
  private usedSlots = 0;

  /**
   * @param capacity current number of slots; may change.
   * @param limit most requests that may wait.
   */
  constructor(
    private readonly capacity: () => number,
    private readonly limit: () => number,
  ) {}

  /** Slots in use. */
  get running(): number {
    return this.usedSlots;
  }

  /** Requests that wait for a slot. */
  get queued(): number {
    return this.waiters.length;
  }

  /**
   * Waits for a slot. When the queue is full, the newest request of the lowest priority, possibly this one, is refused
   * as not run.
   */
  acquire(priority: number, signal: AbortSignal): Promise<Result<Slot, Fault>> {
    if (signal.aborted) return Promise.resolve(err(cancelledFault()));
    if (this.usedSlots < this.capacity() && this.waiters.length === 0)
      return Promise.resolve(ok(this.take()));
    return new Promise((resolve) => {
      const onAbort = (): void => {
        this.dequeue(waiter);
        resolve(err(cancelledFault()));
      };
      const waiter: Waiter = {
        priority,
        settle: (result) => {
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.enqueue(waiter);
    });
  }

  /** Grants free slots to waiting requests; to be called when the capacity has grown. */
  admitWaiters(): void {
    while (this.usedSlots < this.capacity()) {
      const waiter = this.waiters.shift();
      if (waiter === undefined) return;
      waiter.settle(ok(this.take()));
    }
  }

  private enqueue(waiter: Waiter): void {
    const at = this.waiters.findIndex((other) => other.priority < waiter.priority);
    this.waiters.splice(at === -1 ? this.waiters.length : at, 0, waiter);
    if (this.waiters.length > this.limit()) {
      const message = 'the queue of the target is full';
      this.waiters.pop()?.settle(err(fault('overloaded', message, { retryAfterMs: RETRY_AFTER_MS })));
    }
    this.admitWaiters();
  }

  private dequeue(waiter: Waiter): void {
    const at = this.waiters.indexOf(waiter);
    if (at !== -1) this.waiters.splice(at, 1);
  }

  private take(): Slot {
    this.usedSlots++;
    let isHeld = true;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.usedSlots--;
        this.admitWaiters();
      },
    };
  }
}

function cancelledFault(): Fault {
  return fault('cancelled', 'the request was cancelled before it was sent to the target');
}
