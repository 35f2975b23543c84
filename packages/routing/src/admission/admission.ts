/** Whether, and when, a request may go out: limits, then a queue that is fair, then a free place. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdmissionRules, CustomerRules } from '../limit/index.js';
import { TokenBucket } from '../limit/index.js';

/** A request that asks to be let in. */
export interface Demand {
  readonly customer: string;
  /** Larger goes first. */
  readonly priority: number;
  /** Milliseconds until the caller's deadline. */
  readonly deadlineMs: number;
  /** Work of the request for the fair share, in prompt tokens. */
  readonly promptTokens: number;
  /** The caller went away. */
  readonly signal?: AbortSignal;
}

/** The right to send one request out. */
export interface Permit {
  /** Milliseconds spent waiting. */
  readonly waitedMs: number;
  /** The request has ended, in whatever way. Calling it twice changes nothing. */
  release(): void;
}

/** What admission is made with. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Rules in force now; read for each request, so that a changed document needs no call. */
  readonly rules: () => AdmissionRules;
}

const NO_RULES: CustomerRules = { share: 1 };

/** Admission of one service at one entry. */
export class Admission {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly running = new Map<string, number>();

  constructor(private readonly options: AdmissionOptions) {}

  /** Resolves when the request may go out, or at once with a refusal: then it has not run. */
  admit(demand: Demand): Promise<Result<Permit, Fault>> {
    const rules = this.options.rules();
    const customer = rules.customers.get(demand.customer) ?? NO_RULES;
    const refusal = this.refusal(demand.customer, customer, rules.liveEntries);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    return Promise.resolve(ok(this.permit(demand.customer)));
  }

  private refusal(name: string, customer: CustomerRules, entries: number): Fault | undefined {
    const running = this.running.get(name) ?? 0;
    const concurrency = customer.concurrency;
    if (concurrency !== undefined && running >= Math.max(1, Math.ceil(concurrency / entries))) {
      return fault('concurrency-limited', `customer ${name} has ${running} requests running at this entry`);
    }
    const waitMs = this.bucket(name, customer, entries)?.take() ?? 0;
    if (waitMs === 0) return undefined;
    return fault('rate-limited', `customer ${name} is above its rate`, { retryAfterMs: waitMs });
  }

  private bucket(name: string, customer: CustomerRules, entries: number): TokenBucket | undefined {
    if (customer.requestsPerSecond === undefined) return undefined;
    const rate = customer.requestsPerSecond / entries;
    const burst = Math.max(1, (customer.burst ?? customer.requestsPerSecond) / entries);
    const bucket = this.buckets.get(name) ?? new TokenBucket(this.options.clock, rate, burst);
    bucket.resize(rate, burst);
    this.buckets.set(name, bucket);
    return bucket;
  }

  private permit(customer: string): Permit {
    this.running.set(customer, (this.running.get(customer) ?? 0) + 1);
    let held = true;
    return {
      waitedMs: 0,
      release: () => {
        if (!held) return;
        held = false;
        const left = (this.running.get(customer) ?? 1) - 1;
        if (left > 0) this.running.set(customer, left);
        else this.running.delete(customer);
      },
    };
  }
}
