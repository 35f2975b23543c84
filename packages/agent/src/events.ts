/** Catalogue of logged events. */
import { defineEvents } from '@jasmineroute/core';

export const agentEvents = defineEvents({
  engineUp: { id: 6000, level: 'info', message: 'the target answers and is ready' },
  engineDown: {
    id: 6001,
    level: 'warn',
    message: 'the target does not answer, or says that it is not ready',
  },
  engineRestarted: {
    id: 6002,
    level: 'warn',
    message: 'the target has a new incarnation; its index is dropped',
  },
  runRefused: { id: 6003, level: 'debug', message: 'a run was refused before anything was sent' },
  runFailed: { id: 6004, level: 'warn', message: 'a run failed at the target' },
  runResumed: { id: 6005, level: 'info', message: 'a broken answer was continued at the same engine' },
  runAbandoned: { id: 6006, level: 'info', message: 'no entry read a run any more; it was cancelled' },
  cancelFailed: { id: 6007, level: 'warn', message: 'the target did not confirm that it cancelled' },
  tombstoneRefused: { id: 6008, level: 'info', message: 'a run arrived after it had been cancelled' },
  duplicateRun: { id: 6009, level: 'info', message: 'a run arrived twice; it was attached to the first' },
  cacheGap: { id: 6010, level: 'info', message: 'cache events were lost; the index is read anew' },
  cacheLost: { id: 6011, level: 'info', message: 'the stream of cache events ended; it is opened anew' },
  cacheSynchronised: { id: 6012, level: 'info', message: 'the index matches the cache' },
  leaving: { id: 6013, level: 'info', message: 'new work is refused; running work is finished' },
  drained: { id: 6014, level: 'info', message: 'all work is finished' },
  superseded: { id: 6015, level: 'error', message: 'a newer agent serves this target; this one stops' },
  orderSent: { id: 6016, level: 'info', message: 'an order goes to the target' },
  orderDone: { id: 6017, level: 'info', message: 'the target carried out an order' },
  orderFailed: { id: 6018, level: 'warn', message: 'the target did not carry out an order' },
  orderVoid: { id: 6019, level: 'info', message: 'an order was void by the time of its turn' },
  orderFenced: { id: 6020, level: 'warn', message: 'the target refused an old fencing number' },
});
