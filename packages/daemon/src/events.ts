import { defineEvents } from '@jasmineroute/core';

/** Events of the daemon's life. */
export const daemonEvents = defineEvents({
  started: { id: 7001, level: 'info', message: 'started' },
  draining: { id: 7002, level: 'info', message: 'draining: no new work, running work finishes' },
  stopped: { id: 7003, level: 'info', message: 'stopped' },
  stopRepeated: { id: 7004, level: 'info', message: 'asked to stop again; the drain goes on' },
  startFailed: { id: 7005, level: 'error', message: 'start failed' },
  uncaught: { id: 7006, level: 'error', message: 'uncaught exception; the process ends' },
  unhandledRejection: { id: 7007, level: 'error', message: 'unhandled rejection' },
  taskFailed: {
    id: 7010,
    level: 'error',
    message: 'a task failed without which the process must not go on: it stops',
  },
  stalled: {
    id: 7009,
    level: 'warn',
    message: 'the event loop stood still, or the wall clock jumped by so much',
  },
  acceptBacklog: {
    id: 7011,
    level: 'warn',
    message: 'connections waited to be accepted, one in each turn of the event loop',
  },
  memoryUnread: {
    id: 7012,
    level: 'warn',
    message: 'the system does not tell the memory of the process, perhaps as no descriptor is free',
  },
  outputRefused: {
    id: 7013,
    level: 'warn',
    message: 'the line that tells that the process serves could not be written',
  },
  memoryGrew: { id: 7008, level: 'info', message: 'the memory of the process has a new peak' },
});
