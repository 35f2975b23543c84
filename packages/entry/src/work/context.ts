/** Dependencies that all calls of one entry process share. */
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import type { View } from '@jasmineroute/directory';
import type { RetryBudget } from '@jasmineroute/routing';
import type { AttemptIds, Claims } from '../claim/index.js';
import type { GateClients } from '../gate/index.js';
import type { EntrySettings } from '../setting/index.js';
import type { Admissions } from './admissions.js';
import type { Decisions } from './decisions.js';
import type { BackgroundTasks } from './backgroundTasks.js';

/** Dependencies and state shared by all calls of an entry. */
export interface EntryContext {
  readonly settings: EntrySettings;
  readonly clients: GateClients;
  readonly claims: Claims;
  readonly decisions: Decisions;
  readonly admissions: Admissions;
  readonly budget: RetryBudget;
  readonly attemptIds: AttemptIds;
  readonly background: BackgroundTasks;
  readonly view: () => View;
  readonly clock: Clock;
  readonly stalls: StallWatch;
  readonly log: Log;
  readonly metrics: Metrics;
}
