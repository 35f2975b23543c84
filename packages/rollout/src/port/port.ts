/** Port to a target: its state and its orders. */
import type { Fault } from '@jasmineroute/core';
import type { CacheUpdate, TargetStart, UnreadableEntries } from '@jasmineroute/protocol';
import type { Result } from 'neverthrow';

/** State that a target reports on request. */
export interface TargetReport {
  /** Version of the weights of each model. */
  readonly weights: ReadonlyMap<string, number>;
  /** Requests that are queued, and that run. */
  readonly waiting: number;
  readonly running: number;
  /** Of both, those without output yet: an order rejects them. */
  readonly unstarted: number;
  /** An order is being carried out. */
  readonly busy: boolean;
  /** Number of orders accepted since its start. */
  readonly orders: number;
  /** Unreadable entries of its list of models; absent: none. */
  readonly unread?: UnreadableEntries;
}

/** Identity of a target. */
export interface TargetIdentity extends TargetStart {
  /** Requests that it can run at once. */
  readonly capacity: number;
}

/**
 * Handling of running requests when weights are replaced:
 * - finish: they end first, and the target accepts no work until then;
 * - continue: they go on under the new weights; their output from then on is not usable.
 */
export type RunsMode = 'finish' | 'continue';

/** An order to replace a model's weights. */
export interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly runs: RunsMode;
  readonly holder: string;
  /** Fencing token: a target that checks it rejects lower ones than it has seen. */
  readonly fence: bigint;
  /** Number of orders that the target must have accepted before: invalidates an order that arrives late. */
  readonly expectedOrders: number;
  /** Only the target of this name may carry it out; `expectedOrders` excludes most other starts of that target. */
  readonly targetName: string;
}

/**
 * Outcome of an order at a target:
 * - accepted: it is being carried out, or the target has the weights already;
 * - overtaken: another order was accepted before;
 * - fenced: the target has seen a higher fencing token;
 * - misdirected: another target runs at the address;
 * - invalid: the target doesn't know the order or the weights.
 */
export type OrderOutcome = 'accepted' | 'overtaken' | 'fenced' | 'misdirected' | 'invalid';

/** A target. */
export interface TargetPort {
  report(timeoutMs: number): Promise<Result<TargetReport, Fault>>;
  /** Identity by the health check at a path. Errors: no answer, or the target accepts no new work. */
  identity(healthPath: string, timeoutMs: number): Promise<Result<TargetIdentity, Fault>>;
  /**
   * Changes of its cache after position `since`, or none after `waitMs`; undefined when it accepts no further call. Rejects
   * when it can't be reached within `timeoutMs`.
   */
  cacheNews(since: number, waitMs: number, timeoutMs: number): Promise<CacheUpdate | undefined>;
  /** Errors: no answer, so that the order may be carried out now, later or never. */
  order(order: WeightsOrder, timeoutMs: number): Promise<Result<OrderOutcome, Fault>>;
}
