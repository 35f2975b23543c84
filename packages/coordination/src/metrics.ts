/** Metrics of this package. */
import { defineMetrics } from '@jasmineroute/core';

/** Metrics of the replicated log. */
export const coordinationMetrics = defineMetrics({
  commit: {
    name: 'coordination.commit.duration',
    type: 'timing',
    help: 'Time from proposing a command at the leader to its result, ms',
  },
  elections: { name: 'coordination.elections', type: 'counter', help: 'Elections that this replica started' },
  dropped: {
    name: 'coordination.connections.dropped',
    type: 'counter',
    help: 'Connections to replicas that were closed for lack of a response',
  },
  snapshots: { name: 'coordination.snapshots', type: 'counter', help: 'Snapshots taken' },
  snapshotFailures: {
    name: 'coordination.snapshots.failed',
    type: 'counter',
    help: 'Snapshots that could not be saved; each is tried again',
  },
  spareVoters: {
    name: 'coordination.voters.spare',
    type: 'gauge',
    help: 'Voters that may fail before the leader loses its quorum',
  },
  failures: {
    name: 'coordination.replica.failures',
    type: 'counter',
    help: 'Failed tasks; each has stopped the replica',
  },
  storageFailing: {
    name: 'coordination.storage.failing',
    type: 'gauge',
    help: '1 while the storage of the replica fails, otherwise 0',
  },
  storageFailures: {
    name: 'coordination.storage.failures',
    type: 'counter',
    help: 'Failed operations of the storage, by operation',
  },
  overdueDiskCalls: {
    name: 'coordination.storage.overdue',
    type: 'gauge',
    help: 'Calls to the disk that were given up and have not returned; while there are any, the storage is not used',
  },
  commitIndex: {
    name: 'coordination.commit.index',
    type: 'gauge',
    help: 'Index of the last committed entry',
  },
});
