/** Timeouts for calls to other replicas, derived from their response times as in RFC 6298. */

/** Bounds of a timeout, milliseconds. */
export interface TimeoutBounds {
  /** Lower bound, however fast the responses are. */
  readonly leastMs: number;
  /** Upper bound, however slow the responses are. */
  readonly mostMs: number;
}

interface Estimate {
  /** Smoothed response time, milliseconds. */
  meanMs: number;
  /** Smoothed deviation from it, milliseconds. */
  deviationMs: number;
}

/** Smoothing weights of a new measurement, and the factor of the deviation in a timeout, as in the RFC. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;

/** Timeout without any measurement, as a multiple of the lower bound; the RFC also starts above the usual value. */
const INITIAL_TIMEOUT_FACTOR = 2;

/** Factor on a timeout after it has elapsed, as in the RFC. */
const BACKOFF_FACTOR = 2;

/** Timeouts by address. Slow replicas get longer timeouts; ones that fall silent still time out early. */
export class ResponseTimeouts {
  private readonly estimates = new Map<string, Estimate>();
  /** Timeouts since the last response, if any has elapsed, milliseconds. */
  private readonly backedOffMs = new Map<string, number>();

  constructor(private readonly bounds: TimeoutBounds) {}

  /** Timeout of the next call to an address, milliseconds. */
  waitMs(address: string): number {
    const { leastMs, mostMs } = this.bounds;
    const backedOffMs = this.backedOffMs.get(address);
    if (backedOffMs !== undefined) return backedOffMs;
    const estimate = this.estimates.get(address);
    if (estimate === undefined) return Math.min(mostMs, leastMs * INITIAL_TIMEOUT_FACTOR);
    const { meanMs, deviationMs } = estimate;
    return Math.min(mostMs, Math.max(leastMs, meanMs + DEVIATION_FACTOR * deviationMs));
  }

  /** Records a response time, milliseconds. */
  recordResponse(address: string, tookMs: number): void {
    this.backedOffMs.delete(address);
    const estimate = this.estimates.get(address);
    if (estimate === undefined) {
      this.estimates.set(address, { meanMs: tookMs, deviationMs: tookMs / 2 });
      return;
    }
    const distanceMs = Math.abs(tookMs - estimate.meanMs);
    estimate.deviationMs += DEVIATION_WEIGHT * (distanceMs - estimate.deviationMs);
    estimate.meanMs += MEAN_WEIGHT * (tookMs - estimate.meanMs);
  }

  /**
   * Records a call without a response in time. The replica may have become slow, so the next timeout is longer, and the next
   * response begins a new estimate. A timeout that became shorter would never let a response arrive that takes longer.
   */
  recordTimeout(address: string): void {
    this.backedOffMs.set(address, Math.min(this.bounds.mostMs, this.waitMs(address) * BACKOFF_FACTOR));
    this.estimates.delete(address);
  }
}
