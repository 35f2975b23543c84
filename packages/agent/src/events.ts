/** Catalogue of log events. */
import { defineEvents } from '@jasmineroute/core';

export const agentEvents = defineEvents({
  engineUp: { id: 6000, level: 'info', message: 'target is ready' },
  engineDown: {
    id: 6001,
    level: 'warn',
    message: 'target does not answer or reports that it is not ready',
  },
  engineRestarted: {
    id: 6002,
    level: 'warn',
    message: 'target has a new incarnation; its index was cleared',
  },
  runRefused: { id: 6003, level: 'debug', message: 'run refused; it was not executed by the target' },
  runFailed: { id: 6004, level: 'warn', message: 'run failed at the target' },
  runResumed: { id: 6005, level: 'info', message: 'interrupted answer resumed at the same engine' },
  runAbandoned: { id: 6006, level: 'info', message: 'run cancelled; no entry was reading it' },
  cancelFailed: { id: 6007, level: 'warn', message: 'target did not confirm a cancellation' },
  tombstoneRefused: {
    id: 6008,
    level: 'info',
    message: 'run refused; it had been cancelled before it arrived',
  },
  duplicateRun: {
    id: 6009,
    level: 'info',
    message: 'run arrived twice; the second request was attached to the first',
  },
  cacheGap: {
    id: 6010,
    level: 'info',
    message: 'cache events were lost; the index will be restored from a snapshot',
  },
  cacheLost: { id: 6011, level: 'info', message: 'stream of cache events ended; it will be reopened' },
  cacheSynchronised: { id: 6012, level: 'info', message: 'index restored from a snapshot of the cache' },
  leaving: {
    id: 6013,
    level: 'info',
    message: 'agent is leaving; new runs are refused, others are finished',
  },
  drained: { id: 6014, level: 'info', message: 'all runs have ended' },
  superseded: { id: 6015, level: 'error', message: 'a newer agent serves this target; stopping' },
  orderSent: { id: 6016, level: 'info', message: 'order sent to the target' },
  orderDone: { id: 6017, level: 'info', message: 'target executed an order' },
  orderFailed: { id: 6018, level: 'warn', message: 'target did not execute an order' },
  orderVoid: {
    id: 6019,
    level: 'info',
    message: 'order dropped; it was no longer due when its turn was granted',
  },
  orderFenced: {
    id: 6020,
    level: 'warn',
    message: 'target refused an order with an outdated fencing number',
  },
});
