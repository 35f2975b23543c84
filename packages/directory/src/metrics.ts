/** Metrics of the directory. */
import { defineMetrics } from '@jasmineroute/core';

export const directoryMetrics = defineMetrics({
  watchMoves: {
    name: 'directory.watch.moves',
    type: 'counter',
    help: 'Times the watch moved to another source, by reason',
  },
  revision: { name: 'directory.revision', type: 'gauge', help: 'Revision of the documents in force' },
  vouched: {
    name: 'directory.vouched',
    type: 'gauge',
    help: '1 while the source is in touch with a quorum, 0 otherwise',
  },
  instances: { name: 'directory.instances', type: 'gauge', help: 'Instances in the view' },
  beatDuration: { name: 'directory.beat.duration', type: 'timing', help: 'Round trip of a beat' },
  beatFailures: { name: 'directory.beat.failures', type: 'counter', help: 'Beats without an answer' },
  callRetries: {
    name: 'directory.call.retries',
    type: 'counter',
    help: 'Calls to control instances that went on to another one',
  },
});
