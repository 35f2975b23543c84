/** Port to the target beside this process: its state and its orders. */
import type { Fault } from '@jasmineroute/core';
import type { CacheNews, TargetStart, Unread } from '@jasmineroute/protocol';
import type { Result } from 'neverthrow';

/** What a target says of itself when it is asked. */
export interface TargetReport {
  /** Version of the weights of each model. */
  readonly weights: ReadonlyMap<string, number>;
  /** Requests that wait for a place, and that run. */
  readonly waiting: number;
  readonly running: number;
  /** Of both, those that have made nothing yet: an order refuses them. */
  readonly unstarted: number;
  /** An order is being carried out. */
  readonly busy: boolean;
  /** Orders that it accepted since its start. */
  readonly orders: number;
  /** Models of its list that could not be read; absent: none. */
  readonly unread?: Unread;
}

/** Who a target is. */
export interface TargetIdentity extends TargetStart {
  /** Requests that it runs at once. */
  readonly capacity: number;
}

/**
 * What becomes of the requests that run when weights are replaced:
 * - finish: they end first, and the target takes no work until then;
 * - continue: they go on under the new weights; what they make from then on is worth nothing.
 */
export type RunsMode = 'finish' | 'continue';

/** An order to replace a model's weights. */
export interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly runs: RunsMode;
  readonly holder: string;
  /** Fencing number: a target that checks it refuses lower ones than it has seen. */
  readonly fence: bigint;
  /** Orders that the target must have accepted before: makes an order that arrives late void. */
  readonly expectedOrders: number;
  /** Only the target of this name may carry it out; `expectedOrders` keeps it from most other starts of it. */
  readonly targetName: string;
}

/**
 * What a target did with an order:
 * - accepted: it is being carried out, or holds already;
 * - overtaken: another order came first;
 * - fenced: a higher fencing number was seen;
 * - misdirected: another target stands there;
 * - invalid: the target doesn't know the order or the weights.
 */
export type OrderOutcome = 'accepted' | 'overtaken' | 'fenced' | 'misdirected' | 'invalid';

/** The target beside this process. */
export interface TargetPort {
  report(timeoutMs: number): Promise<Result<TargetReport, Fault>>;
  /** By its health check at a path. Errors: no answer, or the target takes no new work. */
  identity(healthPath: string, timeoutMs: number): Promise<Result<TargetIdentity, Fault>>;
  /**
   * What happened to its cache after `since`, or nothing after `waitMs`; undefined when it takes no further call. Rejects
   * when it can't be reached within `timeoutMs`.
   */
  cacheNews(since: number, waitMs: number, timeoutMs: number): Promise<CacheNews | undefined>;
  /** Errors: no answer, so the order may be carried out now, later or never. */
  order(order: WeightsOrder, timeoutMs: number): Promise<Result<OrderOutcome, Fault>>;
}
