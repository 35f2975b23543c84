/** State and services shared by all requests of one relay. */
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import type { MemoryBudget, Uploads } from '@jasmineroute/entry';
import type { Random } from '@jasmineroute/routing';
import type { CopySchedule } from '../cache/index.js';
import type { Dialect } from '../dialect/index.js';
import type { ClusterView } from '@jasmineroute/knowledge';
import type { MovedRoutes, StartProofs, StreamOrigins } from '../origin/index.js';
import type { Quarantine } from '../quarantine/index.js';
import type { TargetSelector } from '../placement/index.js';
import type { TargetPools, TargetMonitor } from '../target/index.js';
import type { StartupGrace } from './startupGrace.js';
import type { ServiceBudgets } from './serviceBudgets.js';

/** State and services shared by all requests of one relay. */
export interface RelayContext {
  readonly dialect: Dialect;
  readonly knowledge: ClusterView;
  readonly selector: TargetSelector;
  readonly monitor: TargetMonitor;
  readonly pools: TargetPools;
  readonly budgets: ServiceBudgets;
  readonly copySchedule: CopySchedule;
  readonly origins: StreamOrigins;
  readonly movedRoutes: MovedRoutes;
  readonly startProofs: StartProofs;
  readonly quarantine: Quarantine;
  readonly startupGrace: StartupGrace;
  /** Monotonic time at which a planned stop ends; undefined if none has started. */
  readonly stopsAt: () => number | undefined;
  /** Time after newer weights are named from which no request may start on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  /** Bodies that are read. */
  readonly uploads: Uploads;
  /** Bytes of answers that are held until they are complete. */
  readonly answerBudget: MemoryBudget;
  readonly random: Random;
  readonly clock: Clock;
  readonly stalls: StallWatch;
  readonly log: Log;
  readonly metrics: Metrics;
}
