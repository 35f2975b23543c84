/** Admission control: customer limits, then a fair queue, then the concurrency window. */
import { fault } from '@jasmineroute/core';
import type { Cancellation, Clock, Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { FairQueue } from '../fairness/index.js';
import type { QueueItem } from '../fairness/index.js';
import { CustomerLimits } from '../limit/index.js';
import type { AdmissionRules, CustomerRules } from '../limit/index.js';
import type { Load } from '../policy/index.js';
import { ConcurrencyWindow } from './window.js';

/** A request for admission. */
export interface AdmissionRequest {
  readonly customer: string;
  /** Higher priorities are served first. */
  readonly priority: number;
  /** Milliseconds until the caller's deadline. */
  readonly deadlineMs: number;
  /** Cost of the request in fair queueing, in prompt tokens. */
  readonly promptTokens: number;
  /** Aborted when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** Permission to send one request to a target. */
export interface Permit {
  /** Milliseconds spent in the queue. */
  readonly waitedMs: number;
  /** To be called when the request has ended. Repeated calls have no effect. */
  release(): void;
}

/** Dependencies of admission control. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Current rules; read for each request, so that changes of the document take effect at once. */
  readonly rules: () => AdmissionRules;
}

/** A queued request and the callback for its result. */
interface QueuedRequest extends QueueItem {
  readonly request: AdmissionRequest;
  readonly arrivedAt: number;
  readonly resolve: (result: Result<Permit, Fault>) => void;
}

const DEFAULT_RULES: CustomerRules = { share: 1 };

/** Weight of the newest sample in the mean interval between completions. */
const NEWEST_WEIGHT = 0.1;

/** Minimum retry delay suggested to callers when the queue is full, milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Admission control of one service at one entry. Refused requests have not run. */
export class Admission {
  private readonly limits: CustomerLimits;
  private readonly queue = new FairQueue<QueuedRequest>();
  private readonly window = new ConcurrencyWindow();
  private inFlight = 0;
  private lastEnd = 0;
  /** Mean milliseconds between two completions while requests are queued; 0 if unknown. */
  private intervalMs = 0;

  constructor(private readonly options: AdmissionOptions) {
    this.limits = new CustomerLimits(options.clock);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Number of requests with a permit. */
  get running(): number {
    return this.inFlight;
  }

  /** Resolves with a permit, or with a fault when the request is refused at once or its deadline passes in the queue. */
  admit(request: AdmissionRequest): Promise<Result<Permit, Fault>> {
    if (request.signal?.aborted === true) return Promise.resolve(err(cancelled()));
    const rules = this.options.rules();
    const customer = rules.customers.get(request.customer) ?? DEFAULT_RULES;
    const refusal = this.limits.acquire(request.customer, customer, rules.liveEntries);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    if (this.queue.size === 0 && this.hasRoom(rules))
      return Promise.resolve(ok(this.issuePermit(request, 0)));
    const waitMs = this.expectedWaitMs(request.priority);
    if (waitMs > request.deadlineMs) {
      this.limits.refund(request.customer);
      return Promise.resolve(err(deadlineUnmeetable(waitMs, request.deadlineMs)));
    }
    return this.enqueue(request, customer.share, rules.queue);
  }

  /** Adjusts the window to the load that a target reported. */
  observe(load: Load): void {
    this.window.observe(load, this.queue.size > 0);
    this.admitQueued();
  }

  /** Admits queued requests after a change of rules or targets. */
  refresh(): void {
    this.admitQueued();
  }

  /** Expected queueing time of a new request of a priority, milliseconds; 0 while the completion rate is unknown. */
  expectedWaitMs(priority: number): number {
    return (this.queue.countAhead(priority) + 1) * this.intervalMs;
  }

  private enqueue(
    request: AdmissionRequest,
    share: number,
    capacity: number,
  ): Promise<Result<Permit, Fault>> {
    return new Promise((resolve) => {
      const queued: QueuedRequest = {
        customer: request.customer,
        priority: request.priority,
        share,
        cost: Math.max(1, request.promptTokens),
        request,
        arrivedAt: this.options.clock.monotonic(),
        resolve: (result) => {
          stopWatching();
          resolve(result);
        },
      };
      const stopWatching = this.watch(queued);
      const dropped = this.queue.push(queued, capacity);
      if (dropped !== undefined) this.refuse(dropped, this.queueFull());
      this.admitQueued();
    });
  }

  /** Refuses a queued request when its deadline passes or its caller disconnects. */
  private watch(queued: QueuedRequest): Cancellation {
    const { deadlineMs, signal } = queued.request;
    const onAbort = (): void => {
      if (this.queue.remove(queued)) this.refuse(queued, cancelled());
    };
    signal?.addEventListener('abort', onAbort, { once: true });
    const cancelTimer = this.options.clock.after(deadlineMs, () => {
      if (this.queue.remove(queued))
        this.refuse(queued, deadlineUnmeetable(deadlineMs + this.intervalMs, deadlineMs));
    });
    return () => {
      cancelTimer();
      signal?.removeEventListener('abort', onAbort);
    };
  }

  /** Admits queued requests while the window has room. */
  private admitQueued(): void {
    const rules = this.options.rules();
    while (this.hasRoom(rules)) {
      const queued = this.queue.shift();
      if (queued === undefined) return;
      const waitedMs = this.options.clock.monotonic() - queued.arrivedAt;
      queued.resolve(ok(this.issuePermit(queued.request, waitedMs)));
    }
  }

  private hasRoom(rules: AdmissionRules): boolean {
    return this.inFlight < this.window.size(rules.capacity, rules.liveEntries);
  }

  private refuse(queued: QueuedRequest, refusal: Fault): void {
    this.limits.refund(queued.customer);
    queued.resolve(err(refusal));
  }

  private issuePermit(request: AdmissionRequest, waitedMs: number): Permit {
    this.inFlight += 1;
    let held = true;
    return {
      waitedMs,
      release: () => {
        if (!held) return;
        held = false;
        this.inFlight -= 1;
        this.limits.release(request.customer);
        this.measureInterval();
        this.admitQueued();
      },
    };
  }

  /** Updates the mean interval between completions, only while requests are queued: otherwise it would be the arrival rate. */
  private measureInterval(): void {
    const now = this.options.clock.monotonic();
    const interval = now - this.lastEnd;
    this.lastEnd = now;
    if (this.queue.size === 0) return;
    this.intervalMs =
      this.intervalMs === 0 ? interval : this.intervalMs + NEWEST_WEIGHT * (interval - this.intervalMs);
  }

  private queueFull(): Fault {
    const retryAfterMs = Math.max(RETRY_AFTER_MS, this.queue.size * this.intervalMs);
    return fault('overloaded', 'the request queue of the service is full', { retryAfterMs });
  }
}

function deadlineUnmeetable(waitMs: number, deadlineMs: number): Fault {
  const retryAfterMs = Math.max(1, Math.ceil(waitMs - deadlineMs));
  const message = `expected queueing time of ${Math.round(waitMs)} ms exceeds the deadline in ${Math.round(deadlineMs)} ms`;
  return fault('deadline-unmeetable', message, { retryAfterMs });
}

function cancelled(): Fault {
  return fault('cancelled', 'the caller disconnected before the request was sent');
}
