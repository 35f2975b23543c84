/**
 * Customers' rates and concurrency at one entry.
 *
 * Limits hold over all entries, without any message between them: each entry enforces its part, the limit over
 * the number of live entries. The balancer spreads a customer's requests evenly, so the parts add up to the
 * limit. A customer whose requests all come through one entry gets only that entry's part.
 */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { wholePart } from './rules.js';
import type { CustomerRules } from './rules.js';
import { TokenBucket } from './tokenBucket.js';

/** Rate buckets that are kept; a customer forgotten starts with a full one. */
const MAX_CUSTOMERS = 10_000;

/** Rates and requests under way, by customer. */
export class CustomerLimits {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly running = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Counts a request in, or says why not; then nothing is counted. */
  enter(customer: string, rules: CustomerRules, entries: number): Fault | undefined {
    const running = this.running.get(customer) ?? 0;
    const { concurrency } = rules;
    if (concurrency !== undefined && running >= wholePart(concurrency, entries)) {
      return fault('concurrency-limited', `customer ${customer} has ${running} requests at this entry`);
    }
    const waitMs = this.bucket(customer, rules, entries)?.take() ?? 0;
    if (waitMs > 0) {
      return fault('rate-limited', `customer ${customer} is above its rate`, { retryAfterMs: waitMs });
    }
    this.running.set(customer, running + 1);
    return undefined;
  }

  /** The request has ended. */
  leave(customer: string): void {
    const left = (this.running.get(customer) ?? 1) - 1;
    if (left > 0) this.running.set(customer, left);
    else this.running.delete(customer);
  }

  /** The request was refused after it was counted in: it costs nothing of the rate. */
  undo(customer: string): void {
    this.leave(customer);
    this.buckets.get(customer)?.giveBack();
  }

  private bucket(customer: string, rules: CustomerRules, entries: number): TokenBucket | undefined {
    const { requestsPerSecond } = rules;
    if (requestsPerSecond === undefined) return undefined;
    const rate = requestsPerSecond / Math.max(1, entries);
    const burst = wholePart(rules.burst ?? requestsPerSecond, entries);
    const bucket = this.buckets.get(customer) ?? new TokenBucket(this.clock, rate, burst);
    bucket.resize(rate, burst);
    if (this.buckets.size >= MAX_CUSTOMERS) this.forgetOldest();
    this.buckets.set(customer, bucket);
    return bucket;
  }

  private forgetOldest(): void {
    const [oldest] = this.buckets.keys();
    if (oldest !== undefined) this.buckets.delete(oldest);
  }
}
