/** Whether, and when, a request may go out: limits, then a queue that is fair, then a free place. */
import { fault } from '@jasmineroute/core';
import type { Cancellation, Clock, Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { FairQueue } from '../fairness/index.js';
import type { Queued } from '../fairness/index.js';
import { CustomerLimits } from '../limit/index.js';
import type { AdmissionRules, CustomerRules } from '../limit/index.js';
import type { Load } from '../policy/index.js';
import { Window } from './window.js';

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

/** A request that waits, and how to tell it. */
interface Waiter extends Queued {
  readonly demand: Demand;
  readonly arrivedAt: number;
  readonly answer: (result: Result<Permit, Fault>) => void;
}

const NO_RULES: CustomerRules = { share: 1 };

/** Weight of the newest interval between two requests that end. */
const NEWEST = 0.1;

/** When callers may come back after the queue was full and no speed is known, milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Admission of one service at one entry. All refusals are of requests that have not run. */
export class Admission {
  private readonly limits: CustomerLimits;
  private readonly queue = new FairQueue<Waiter>();
  private readonly window = new Window();
  private out = 0;
  private lastEnd = 0;
  /** Mean milliseconds between two requests that end; 0: not known. */
  private intervalMs = 0;

  constructor(private readonly options: AdmissionOptions) {
    this.limits = new CustomerLimits(options.clock);
  }

  /** Requests that wait here. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Requests that have a permit. */
  get running(): number {
    return this.out;
  }

  /** Resolves when the request may go out, or with a refusal: at once, or when its deadline has passed. */
  admit(demand: Demand): Promise<Result<Permit, Fault>> {
    if (demand.signal?.aborted === true) return Promise.resolve(err(cancelled()));
    const rules = this.options.rules();
    const customer = rules.customers.get(demand.customer) ?? NO_RULES;
    const refusal = this.limits.enter(demand.customer, customer, rules.liveEntries);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    if (this.queue.size === 0 && this.hasRoom(rules)) return Promise.resolve(ok(this.permit(demand, 0)));
    const waitMs = this.expectedWaitMs(demand.priority);
    if (waitMs > demand.deadlineMs) {
      this.limits.undo(demand.customer);
      return Promise.resolve(err(unmeetable(waitMs, demand.deadlineMs)));
    }
    return this.enqueue(demand, customer.share, rules.queue);
  }

  /** A target has told its load: the entry may have more requests out while others use less than their part. */
  observe(load: Load): void {
    this.window.observe(load, this.queue.size > 0);
    this.next();
  }

  /** Rules or targets have changed: lets in what has room now. */
  refresh(): void {
    this.next();
  }

  /** Expected milliseconds until a new request of a priority goes out; 0 while no speed is known. */
  expectedWaitMs(priority: number): number {
    return (this.queue.ahead(priority) + 1) * this.intervalMs;
  }

  private enqueue(demand: Demand, share: number, capacity: number): Promise<Result<Permit, Fault>> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        customer: demand.customer,
        priority: demand.priority,
        share,
        cost: Math.max(1, demand.promptTokens),
        demand,
        arrivedAt: this.options.clock.monotonic(),
        answer: (result) => {
          stopWatching();
          resolve(result);
        },
      };
      const stopWatching = this.watch(waiter);
      const givenUp = this.queue.push(waiter, capacity);
      if (givenUp !== undefined) this.refuse(givenUp, this.full());
      this.next();
    });
  }

  /** Refuses a waiter when its deadline passes or its caller goes away. */
  private watch(waiter: Waiter): Cancellation {
    const { deadlineMs, signal } = waiter.demand;
    const onAbort = (): void => {
      if (this.queue.remove(waiter)) this.refuse(waiter, cancelled());
    };
    signal?.addEventListener('abort', onAbort, { once: true });
    const cancelTimer = this.options.clock.after(deadlineMs, () => {
      if (this.queue.remove(waiter))
        this.refuse(waiter, unmeetable(deadlineMs + this.intervalMs, deadlineMs));
    });
    return () => {
      cancelTimer();
      signal?.removeEventListener('abort', onAbort);
    };
  }

  /** Lets in as many as there is room for. */
  private next(): void {
    const rules = this.options.rules();
    while (this.hasRoom(rules)) {
      const waiter = this.queue.shift();
      if (waiter === undefined) return;
      const waitedMs = this.options.clock.monotonic() - waiter.arrivedAt;
      waiter.answer(ok(this.permit(waiter.demand, waitedMs)));
    }
  }

  private hasRoom(rules: AdmissionRules): boolean {
    return this.out < this.window.size(rules.capacity, rules.liveEntries);
  }

  private refuse(waiter: Waiter, refusal: Fault): void {
    this.limits.undo(waiter.customer);
    waiter.answer(err(refusal));
  }

  private permit(demand: Demand, waitedMs: number): Permit {
    this.out += 1;
    let held = true;
    return {
      waitedMs,
      release: () => {
        if (!held) return;
        held = false;
        this.out -= 1;
        this.limits.leave(demand.customer);
        this.measure();
        this.next();
      },
    };
  }

  /** Measures how fast requests end, while some wait: else the interval says how fast they come. */
  private measure(): void {
    const now = this.options.clock.monotonic();
    const interval = now - this.lastEnd;
    this.lastEnd = now;
    if (this.queue.size === 0) return;
    this.intervalMs =
      this.intervalMs === 0 ? interval : this.intervalMs + NEWEST * (interval - this.intervalMs);
  }

  private full(): Fault {
    const retryAfterMs = Math.max(RETRY_AFTER_MS, this.queue.size * this.intervalMs);
    return fault('overloaded', 'the queue of the service is full', { retryAfterMs });
  }
}

function unmeetable(waitMs: number, deadlineMs: number): Fault {
  const retryAfterMs = Math.max(1, Math.ceil(waitMs - deadlineMs));
  const message = `the request would wait ${Math.round(waitMs)} ms, and its deadline is in ${Math.round(deadlineMs)} ms`;
  return fault('deadline-unmeetable', message, { retryAfterMs });
}

function cancelled(): Fault {
  return fault('cancelled', 'the caller went away before the request was sent');
}
