/** Metrics of the directory. */
import { defineMetrics } from '@jasmineroute/core';

export const directoryMetrics = defineMetrics({
  watchMoves: {
    name: 'directory.watch.moves',
    type: 'counter',
    help: 'Switches of the watch to another source, by reason',
  },
  revision: { name: 'directory.revision', type: 'gauge', help: 'Revision of the applied documents' },
  vouched: {
    name: 'directory.vouched',
    type: 'gauge',
    help: '1 while the source is in touch with a quorum, 0 otherwise',
  },
  instances: { name: 'directory.instances', type: 'gauge', help: 'Instances in the view' },
  beatDuration: { name: 'directory.beat.duration', type: 'timing', help: 'Round-trip time of a heartbeat' },
  beatFailures: {
    name: 'directory.beat.failures',
    type: 'counter',
    help: 'Heartbeats without an acknowledgement',
  },
  callRetries: {
    name: 'directory.call.retries',
    type: 'counter',
    help: 'Calls retried on another control instance',
  },
});
