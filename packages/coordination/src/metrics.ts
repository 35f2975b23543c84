/** Metrics of this package. */
import { defineMetrics } from '@jasmineroute/core';

/** The replicated log's measurements. */
export const coordinationMetrics = defineMetrics({
  commit: {
    name: 'coordination.commit.duration',
    type: 'timing',
    help: 'Time from proposing a command at the leader to its result, ms',
  },
  elections: { name: 'coordination.elections', type: 'counter', help: 'Candidacies of this replica' },
  dropped: {
    name: 'coordination.connections.dropped',
    type: 'counter',
    help: 'Connections to replicas that were cut because they gave no answer',
  },
  snapshots: { name: 'coordination.snapshots', type: 'counter', help: 'Snapshots taken' },
  spareVoters: {
    name: 'coordination.voters.spare',
    type: 'gauge',
    help: 'Voters that may still be lost before the leader has no quorum',
  },
  failures: {
    name: 'coordination.replica.failures',
    type: 'counter',
    help: 'Tasks that failed, each of which has stopped the replica',
  },
  commitIndex: { name: 'coordination.commit.index', type: 'gauge', help: 'Last committed entry' },
});
