/**
 * Number of requests that one entry may have in flight at the targets.
 *
 * Requests queued at engines can be neither reordered nor refused cheaply, and their prefix may be evicted before they
 * start, which shows as long queues at targets and a hit rate that falls with load. Requests therefore wait in a fair
 * queue at the entry. The window is this entry's share of the targets' capacity plus a small overcommit, and grows
 * while other entries use less than their share.
 */
import type { Load } from '../policy/index.js';

/** In-flight requests per slot at the targets, so that an engine that completes a request has the next one queued. */
const OVERCOMMIT = 1.25;

/** Minimum window, for deployments with many entries. */
const MIN_WINDOW = 2;

/** Factor applied to the growth of the window when a target reports queued requests. */
const DECREASE_FACTOR = 0.97;

/** Additive increase and multiplicative decrease between the entry's share and the whole capacity. */
export class ConcurrencyWindow {
  private extra = 0;

  /** Maximum number of in-flight requests. */
  size(capacity: number, entries: number): number {
    const share = (OVERCOMMIT * capacity) / Math.max(1, entries);
    return Math.max(MIN_WINDOW, Math.min(Math.ceil(share + this.extra), Math.ceil(OVERCOMMIT * capacity)));
  }

  /** Adjusts the window to the load of a target. @param hasWaiting whether requests are queued at this entry. */
  observe(load: Load, hasWaiting: boolean): void {
    if (load.queued > 0) this.extra *= DECREASE_FACTOR;
    else if (hasWaiting && load.running < load.capacity) this.extra += 1;
  }
}
