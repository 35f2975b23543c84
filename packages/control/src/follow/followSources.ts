/** Sources of the streams to followers. */
import type { CachedParts } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import type { CommandLog } from '../log/index.js';
import type { RelayedTargets, TargetRegistry } from '../targets/index.js';
import type { OtherControls } from './otherControls.js';
import type { ReportSinks } from './reportReceiver.js';

/** The state that the streams send. */
export interface FollowSources extends ReportSinks {
  readonly configuration: ConfigurationState;
  readonly targets: TargetRegistry;
  /** Targets that other control instances relay. */
  readonly relayed: RelayedTargets;
  readonly others: OtherControls;
  /** Addresses of cache stores that do not answer. */
  readonly lostStores: () => readonly string[];
  /** Blocks in cache stores; undefined where no store is watched. */
  readonly kept: CachedParts | undefined;
  readonly commandLog: CommandLog;
}
