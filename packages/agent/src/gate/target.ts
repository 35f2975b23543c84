/** The target as the gate knows it at this moment. */
import type { EngineModel } from '@jasmineroute/engine';

/** Asked anew for each check. */
export interface GateTarget {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  /** As announced: engine and agent. */
  incarnation(): string;
  ready(): boolean;
  /** Whether new work is refused for good. */
  leaving(): boolean;
  /** Models that take new work. */
  models(): readonly EngineModel[];
  capacity(): number;
}
