/**
 * Rate and concurrency limits of customers at one entry.
 *
 * Limits apply to all entries together, without communication between them: each entry enforces the limit divided by
 * the number of live entries. The load balancer spreads the requests of a customer evenly, so that the shares add up
 * to the limit. A customer whose requests all arrive at one entry gets only the share of that entry.
 */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { shareOf } from './rules.js';
import type { CustomerRules } from './rules.js';
import { TokenBucket } from './tokenBucket.js';

/** Maximum number of token buckets. A customer whose bucket was removed starts with a full one. */
const MAX_BUCKETS = 10_000;

/** Token buckets and in-flight requests by customer. */
export class CustomerLimits {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly running = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Counts a new request. @returns a fault when a limit is exceeded; then nothing is counted. */
  acquire(customer: string, rules: CustomerRules, entries: number): Fault | undefined {
    const running = this.running.get(customer) ?? 0;
    const { concurrency } = rules;
    if (concurrency !== undefined && running >= shareOf(concurrency, entries)) {
      return fault(
        'concurrency-limited',
        `customer ${customer} already has ${running} requests in flight at this entry`,
      );
    }
    const waitMs = this.bucket(customer, rules, entries)?.take() ?? 0;
    if (waitMs > 0) {
      return fault('rate-limited', `customer ${customer} exceeds its request rate limit`, {
        retryAfterMs: waitMs,
      });
    }
    this.running.set(customer, running + 1);
    return undefined;
  }

  /** Releases a request that has ended. */
  release(customer: string): void {
    const left = (this.running.get(customer) ?? 1) - 1;
    if (left > 0) this.running.set(customer, left);
    else this.running.delete(customer);
  }

  /** Releases a request that was refused after it was counted, and returns its token to the bucket. */
  refund(customer: string): void {
    this.release(customer);
    this.buckets.get(customer)?.refund();
  }

  private bucket(customer: string, rules: CustomerRules, entries: number): TokenBucket | undefined {
    const { requestsPerSecond } = rules;
    if (requestsPerSecond === undefined) return undefined;
    const rate = requestsPerSecond / Math.max(1, entries);
    const burst = shareOf(rules.burst ?? requestsPerSecond, entries);
    const bucket = this.buckets.get(customer) ?? new TokenBucket(this.clock, rate, burst);
    bucket.resize(rate, burst);
    if (this.buckets.size >= MAX_BUCKETS) this.forgetOldest();
    this.buckets.set(customer, bucket);
    return bucket;
  }

  private forgetOldest(): void {
    const [oldest] = this.buckets.keys();
    if (oldest !== undefined) this.buckets.delete(oldest);
  }
}
