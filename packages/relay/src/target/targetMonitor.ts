/**
 * Tracks the state of targets as observed by this entry: its open requests, the reported load, and recent failures.
 */
import type { Clock } from '@jasmineroute/core';
import { FirstTokenModel } from '@jasmineroute/routing';
import { Backlog } from './backlog.js';
import { Pace } from './pace.js';
import type { ReportedLoad } from '../dialect/index.js';

/** Time over which a reported load loses its weight, milliseconds: the duration of a few requests. */
const LOAD_TTL_MS = 2_000;

/**
 * Initial and maximum backoff for a target that failed, milliseconds. The backoff doubles with each consecutive
 * failure.
 */
const FAILURE_BACKOFF_MS = 250;
const MAX_FAILURE_BACKOFF_MS = 4_000;

/**
 * Initial and maximum backoff for a target that refused a request, milliseconds. The backoff doubles with each
 * consecutive refusal. Loading weights takes 1 to 2 s.
 */
const REFUSAL_BACKOFF_MS = 250;
const MAX_REFUSAL_BACKOFF_MS = 1_000;

/**
 * A target with open requests that sends nothing for this long counts as lost, milliseconds. A busy engine sends an
 * event about every 200 ms; a host that loses power or network resets no connection, and its missed heartbeats are
 * noticed only seconds later.
 */
export const UNRESPONSIVE_MS = 800;

/** Tokens that a request fetches from a KV cache store before its prompt is read. */
export interface Fetch {
  /** host:port. */
  readonly store: string;
  readonly tokens: number;
}

/** An open request at a target. */
export interface OpenRequest {
  /** Marks the prompt as read: the first event has arrived. */
  markRead(): void;
  /** Ends the request. */
  finish(): void;
}

/** Observed status of one target. */
export interface TargetStatus {
  /** Open requests of this entry. */
  open: number;
  /** Requests of other entries at the time of the load report. */
  others: number;
  /** Monotonic time of the load report; absent if there was none. */
  loadReportedAt?: number;
  /** Monotonic time of the last byte received, or of the first open request after there were none. */
  lastByteAt: number;
  failures: number;
  /** Consecutive backoffs after refusals. */
  refusals: number;
  /** Monotonic time until which the target is avoided. */
  avoidUntil: number;
}

/** Status of targets by target id. */
export class TargetMonitor {
  private readonly statuses = new Map<string, TargetStatus>();
  /** Pending work at targets. */
  readonly backlog: Backlog;
  /** Models of the time to first token, by service. */
  private readonly models = new Map<string, FirstTokenModel>();
  /** Speed of targets. */
  readonly pace = new Pace();

  constructor(private readonly clock: Clock) {
    this.backlog = new Backlog(clock);
  }

  /** The status of a target. */
  statusOf(id: string): TargetStatus {
    const existing = this.statuses.get(id);
    if (existing !== undefined) return existing;
    const created: TargetStatus = {
      open: 0,
      others: 0,
      lastByteAt: 0,
      failures: 0,
      refusals: 0,
      avoidUntil: 0,
    };
    this.statuses.set(id, created);
    return created;
  }

  /** Estimated number of requests at a target, from this entry and others. */
  requestsAt(id: string): number {
    const { open, others, loadReportedAt } = this.statusOf(id);
    if (loadReportedAt === undefined) return open;
    const age = this.clock.monotonic() - loadReportedAt;
    return open + others * Math.max(0, 1 - age / LOAD_TTL_MS);
  }

  /** Age of the reported load, milliseconds; undefined if there was no report. */
  loadAgeOf(id: string): number | undefined {
    const { loadReportedAt } = this.statusOf(id);
    return loadReportedAt === undefined ? undefined : Math.round(this.clock.monotonic() - loadReportedAt);
  }

  /** Whether a target is in backoff, or unresponsive. */
  isAvoided(id: string): boolean {
    return this.clock.monotonic() < this.statusOf(id).avoidUntil || this.isUnresponsive(id);
  }

  /** Whether a target has open requests but has sent nothing for too long. */
  isUnresponsive(id: string): boolean {
    const { open, lastByteAt } = this.statusOf(id);
    return open > 0 && this.clock.monotonic() - lastByteAt > UNRESPONSIVE_MS;
  }

  /** Records that a byte arrived from a target. */
  recordActivity(id: string): void {
    this.statusOf(id).lastByteAt = this.clock.monotonic();
  }

  /** The model of the time to first token at a service's targets. */
  firstTokenModel(service: string): FirstTokenModel {
    const model = this.models.get(service) ?? new FirstTokenModel();
    this.models.set(service, model);
    return model;
  }

  /**
   * Records that a request of a service is sent, with `tokens` of its prompt to be read and possibly some to be
   * fetched first.
   */
  startRequest(id: string, tokens = 0, fetch?: Fetch, service = ''): OpenRequest {
    const status = this.statusOf(id);
    if (status.open === 0) status.lastByteAt = this.clock.monotonic();
    status.open += 1;
    const startedAt = this.clock.monotonic();
    const tokensAhead = this.backlog.tokensAt(id) + tokens;
    // The wait for a fetch must not be counted as time to read.
    const needsNoFetch = fetch === undefined || fetch.tokens === 0;
    const updateModel = (): void => {
      this.firstTokenModel(service).record(id, tokensAhead, this.clock.monotonic() - startedAt);
    };
    const prompt = this.backlog.enqueue(id, tokens, needsNoFetch ? updateModel : undefined);
    const queuedFetch = fetch === undefined ? undefined : this.backlog.enqueue(fetch.store, fetch.tokens);
    const markRead = (): void => {
      prompt.markRead();
      queuedFetch?.remove();
    };
    const finish = (): void => {
      prompt.remove();
      queuedFetch?.remove();
      status.open -= 1;
    };
    return { markRead, finish };
  }

  /** Records a target's load report, which includes the answered request and this entry's other requests. */
  recordLoad(id: string, load: ReportedLoad): void {
    const status = this.statusOf(id);
    status.others = Math.max(0, load.running + load.waiting - status.open);
    status.loadReportedAt = this.clock.monotonic();
  }

  /** Records a successful answer. */
  recordSuccess(id: string): void {
    const status = this.statusOf(id);
    status.failures = 0;
    status.refusals = 0;
  }

  /**
   * Records that a target refused a request without running it. A target that loads weights unexpectedly, or has
   * other weights than announced, refuses every request at once, so it appears to have no work and attracts all
   * requests. Refusals of concurrent requests count once.
   */
  recordRefusal(id: string): void {
    const status = this.statusOf(id);
    const now = this.clock.monotonic();
    if (now < status.avoidUntil) return;
    status.avoidUntil = now + Math.min(MAX_REFUSAL_BACKOFF_MS, REFUSAL_BACKOFF_MS * 2 ** status.refusals);
    status.refusals += 1;
  }

  /**
   * Records that a target was unreachable or broke off an answer. The backoff grows with each consecutive failure.
   */
  recordFailure(id: string): void {
    const status = this.statusOf(id);
    status.failures += 1;
    const avoidMs = Math.min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * 2 ** (status.failures - 1));
    status.avoidUntil = this.clock.monotonic() + avoidMs;
  }

  /** Drops the status of targets that are neither listed nor have open requests. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, { open }] of this.statuses) if (!ids.has(id) && open === 0) this.statuses.delete(id);
    this.backlog.dropExpired();
    for (const model of this.models.values()) model.retain(ids);
    this.pace.retain(ids);
  }
}
