/** What the streams to followers tell of. */
import type { KeptParts } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import type { CommandLog } from '../log/index.js';
import type { RelayedTargets, TargetBook } from '../targets/index.js';
import type { OtherControls } from './otherControls.js';
import type { ReportBoards } from './reportIntake.js';

/** What the streams tell of. */
export interface FollowSources extends ReportBoards {
  readonly configuration: ConfigurationState;
  readonly targets: TargetBook;
  /** What other control instances tell of targets. */
  readonly relayed: RelayedTargets;
  readonly others: OtherControls;
  /** Addresses of stores that do not answer. */
  readonly lostStores: () => readonly string[];
  /** What stores keep; undefined where no store is watched. */
  readonly kept: KeptParts | undefined;
  readonly commandLog: CommandLog;
}
