/** Log events of the process that updates a target's weights: the one beside it, or a control instance in its place. */
import { defineEvents } from '@jasmineroute/core';

export const rolloutEvents = defineEvents({
  started: { id: 8200, level: 'info', message: 'started beside a target' },
  behind: { id: 8201, level: 'info', message: 'the target has older weights than requested' },
  ordered: { id: 8202, level: 'info', message: 'order sent to the target' },
  weightsLoaded: { id: 8203, level: 'info', message: 'the target has loaded the weights' },
  weightsNotLoaded: {
    id: 8204,
    level: 'warn',
    message: 'the target did not load the weights in time; retrying',
  },
  unreachable: { id: 8205, level: 'warn', message: 'the target beside this process does not answer' },
  observationFailed: { id: 8206, level: 'warn', message: 'a control instance did not accept an observation' },
  cacheSilent: { id: 8207, level: 'warn', message: 'the target does not report its cache' },
  unreadableEvents: { id: 8209, level: 'warn', message: "some of the target's cache events can not be read" },
  announced: { id: 8210, level: 'info', message: 'announced the target, which was unknown to control' },
  unreadableReport: { id: 8211, level: 'warn', message: "some of the target's models can not be read" },
  identityUnknown: {
    id: 8212,
    level: 'info',
    message: 'the target beside this process does not report its identity',
  },
  unattended: {
    id: 8213,
    level: 'warn',
    message: 'no process beside the target reports: this control instance updates its weights',
  },
  attended: {
    id: 8214,
    level: 'info',
    message: 'this control instance no longer updates the weights of the target',
  },
  updaterFailed: {
    id: 8215,
    level: 'error',
    message: 'the update of a target without a process beside it failed and is started again',
  },
  cacheAnswering: { id: 8208, level: 'info', message: 'the target reports its cache again' },
});
