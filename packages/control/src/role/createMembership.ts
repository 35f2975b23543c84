/** The list of instances of a control instance. */
import { FailureDetector, detectorSettings } from '@jasmineroute/coordination';
import { Membership } from '@jasmineroute/directory';
import type { RoleContext } from '@jasmineroute/protocol';
import type { DocumentView } from '../documents/index.js';
import type { CommandLog, ReplicaAddress } from '../log/index.js';
import { configuredReplicas } from '../replicas/index.js';

/** Creates the list with a failure detector; the other control instances come from the control document. */
export function createMembership(
  context: RoleContext,
  commandLog: CommandLog,
  view: DocumentView,
  initial: readonly ReplicaAddress[],
): Membership {
  const { name, incarnation, clock, log, peers } = context;
  const settings = detectorSettings.parse({});
  const vouched = (): boolean => commandLog.status().vouched;
  const detector = new FailureDetector({ observer: name, incarnation, clock, settings, vouched });
  const controls = (): readonly ReplicaAddress[] => configuredReplicas(view) ?? initial;
  const { tickMs } = settings;
  return new Membership({ name, incarnation, detector, tickMs, peers, clock, log, vouched, controls });
}
