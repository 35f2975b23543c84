/** Current state of the target for the gate. */
import type { EngineModel } from '@jasmineroute/engine';

/** Its methods are called for every check and return current values. */
export interface GateTarget {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  /** Incarnation of engine and agent, as announced. */
  incarnation(): string;
  ready(): boolean;
  /** Whether the target is leaving: it accepts no new runs any more. */
  leaving(): boolean;
  /** Models that accept new runs. */
  models(): readonly EngineModel[];
  /** Requests that the target runs concurrently. */
  capacity(): number;
}
