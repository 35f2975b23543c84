/** What all requests of one relaying entry share. */
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import type { BodyBudget } from '@jasmineroute/entry';
import type { Random } from '@jasmineroute/routing';
import type { CopySchedule } from '../cache/index.js';
import type { Dialect } from '../dialect/index.js';
import type { Knowledge } from '@jasmineroute/knowledge';
import type { TargetSelector } from '../placement/index.js';
import type { TargetPools, TargetSights } from '../target/index.js';
import type { Learning } from './learning.js';
import type { ServiceBudgets } from './serviceBudgets.js';

/** What all requests of one relaying entry share. */
export interface RelayContext {
  readonly dialect: Dialect;
  readonly knowledge: Knowledge;
  readonly selector: TargetSelector;
  readonly sights: TargetSights;
  readonly pools: TargetPools;
  readonly budgets: ServiceBudgets;
  readonly copySchedule: CopySchedule;
  readonly learning: Learning;
  /** Monotonic time at which a planned stop is over; undefined: none has begun. */
  readonly stopsAt: () => number | undefined;
  /** Time after the naming of newer weights from which on nothing may begin on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  readonly bodies: BodyBudget;
  readonly random: Random;
  readonly clock: Clock;
  readonly stalls: StallWatch;
  readonly log: Log;
  readonly metrics: Metrics;
}
