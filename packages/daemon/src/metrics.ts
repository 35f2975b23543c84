/** What every process measures of itself. */
import { defineMetrics } from '@jasmineroute/core';

export const daemonMetrics = defineMetrics({
  resident: {
    name: 'process.memory.resident',
    type: 'gauge',
    help: 'Memory that the process takes, bytes',
  },
  anonymous: {
    name: 'process.memory.anonymous',
    type: 'gauge',
    help: 'Memory that the process takes without the pages of files, bytes',
  },
  heapUsed: {
    name: 'process.memory.heap.used',
    type: 'gauge',
    help: 'Heap that holds something, or waits for its collection, bytes',
  },
  heapReserved: {
    name: 'process.memory.heap.reserved',
    type: 'gauge',
    help: 'Heap that the runtime has reserved, bytes',
  },
  external: { name: 'process.memory.external', type: 'gauge', help: 'Buffers outside the heap, bytes' },
  descriptors: { name: 'process.descriptors.open', type: 'gauge', help: 'Open file descriptors' },
  stall: {
    name: 'process.stall',
    type: 'timing',
    help: 'Time for which the event loop stood still, milliseconds',
  },
  acceptBacklog: {
    name: 'process.accept.backlog',
    type: 'timing',
    help: 'Time for which connections were accepted in consecutive turns of the event loop, milliseconds, by listener',
  },
  acceptedInSeries: {
    name: 'process.accept.series',
    type: 'counter',
    help: 'Connections that were accepted in consecutive turns of the event loop, two or more, by listener',
  },
  compilersPeak: {
    name: 'process.memory.compilers.peak',
    type: 'gauge',
    help: "Most that the runtime's compilers held at once, bytes",
  },
});
