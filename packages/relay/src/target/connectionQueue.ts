/** The order in which requests get the connections to one target. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Gives a connection back. */
export type Release = () => void;

interface Waiter {
  readonly arrivedAt: number;
  readonly settle: (granted: Result<Release, Fault>) => void;
}

/**
 * Grants the connections to one target, first to the request that arrived first. A request that waits here can be taken back;
 * one that waits inside a connection pool is written as soon as a connection is free.
 */
export class ConnectionQueue {
  private inUse = 0;
  /** The earliest arrival first. */
  private readonly waiting: Waiter[] = [];

  /** @param maxInUse connections that may be in use at once; absent: any number. */
  constructor(private readonly maxInUse = Number.POSITIVE_INFINITY) {}

  /**
   * Waits for a connection.
   * @param arrivedAt monotonic time at which the request arrived at this entry.
   */
  acquire(arrivedAt: number, signal: AbortSignal): Promise<Result<Release, Fault>> {
    if (signal.aborted) return Promise.resolve(cancelled());
    if (this.inUse < this.maxInUse) {
      this.inUse += 1;
      return Promise.resolve(ok(this.releaseOnce()));
    }
    return new Promise((resolve) => {
      const onAbort = (): void => {
        this.waiting.splice(this.waiting.indexOf(waiter), 1);
        waiter.settle(cancelled());
      };
      const waiter: Waiter = {
        arrivedAt,
        settle: (granted) => {
          signal.removeEventListener('abort', onAbort);
          resolve(granted);
        },
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.insert(waiter);
    });
  }

  /** Ends the wait of all requests with a fault. */
  giveBack(problem: Fault): void {
    for (const waiter of this.waiting.splice(0)) waiter.settle(err(problem));
  }

  private insert(waiter: Waiter): void {
    const before = this.waiting.findLastIndex(({ arrivedAt }) => arrivedAt <= waiter.arrivedAt);
    this.waiting.splice(before + 1, 0, waiter);
  }

  private releaseOnce(): Release {
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      const next = this.waiting.shift();
      if (next === undefined) this.inUse -= 1;
      else next.settle(ok(this.releaseOnce()));
    };
  }
}

const cancelled = (): Result<Release, Fault> => err(fault('cancelled', 'cancelled before it was sent'));
