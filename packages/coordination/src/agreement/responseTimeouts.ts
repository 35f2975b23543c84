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

/** Timeouts by address. Slow replicas get longer timeouts; silent ones still time out early. */
export class ResponseTimeouts {
  private readonly estimates = new Map<string, Estimate>();

  constructor(private readonly bounds: TimeoutBounds) {}

  /** Timeout of the next call to an address, milliseconds. */
  waitMs(address: string): number {
    const { leastMs, mostMs } = this.bounds;
    const estimate = this.estimates.get(address);
    if (estimate === undefined) return Math.min(mostMs, leastMs * INITIAL_TIMEOUT_FACTOR);
    const { meanMs, deviationMs } = estimate;
    return Math.min(mostMs, Math.max(leastMs, meanMs + DEVIATION_FACTOR * deviationMs));
  }

  /** Records a response time, milliseconds. */
  recordResponse(address: string, tookMs: number): void {
    const estimate = this.estimates.get(address);
    if (estimate === undefined) {
      this.estimates.set(address, { meanMs: tookMs, deviationMs: tookMs / 2 });
      return;
    }
    const distanceMs = Math.abs(tookMs - estimate.meanMs);
    estimate.deviationMs += DEVIATION_WEIGHT * (distanceMs - estimate.deviationMs);
    estimate.meanMs += MEAN_WEIGHT * (tookMs - estimate.meanMs);
  }

  /** Records a call without a response in time. Resets the estimate, because the replica may have become slow. */
  recordTimeout(address: string): void {
    this.estimates.delete(address);
  }
}
