/**
 * How many requests one entry may have at the targets.
 *
 * What goes wrong: requests that wait at engines can be neither reordered nor refused cheaply, and by the time
 * they start, the prefix that they were sent there for has been evicted. Long queues at targets and a hit rate
 * that falls with load show it. So requests wait at the entry, in a fair queue, and no more go out than the
 * targets have places for: this entry's part of them and a little more, and as many as there is room for when
 * other entries use less than theirs.
 */
import type { Load } from '../policy/index.js';

/** Requests at the targets for each place: engines that end one should find the next at hand. */
const OVERCOMMIT = 1.25;

/** Least window, so that an entry among many still works. */
const LEAST = 2;

/** How much of the window goes when a target's queue is found filled. */
const BACK_OFF = 0.97;

/** Additive increase and multiplicative decrease between the entry's part and the whole. */
export class Window {
  private extra = 0;

  /** Requests that may be out now. */
  size(capacity: number, entries: number): number {
    const part = (OVERCOMMIT * capacity) / Math.max(1, entries);
    return Math.max(LEAST, Math.min(Math.ceil(part + this.extra), Math.ceil(OVERCOMMIT * capacity)));
  }

  /** A target has told its load. @param wanting whether requests wait here for the window. */
  observe(load: Load, wanting: boolean): void {
    if (load.queued > 0) this.extra *= BACK_OFF;
    else if (wanting && load.running < load.capacity) this.extra += 1;
  }
}
