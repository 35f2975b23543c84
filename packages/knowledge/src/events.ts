/** Numbered events of what a process learns from control. */
import { defineEvents } from '@jasmineroute/core';

export const knowledgeEvents = defineEvents({
  configured: { id: 8105, level: 'info', message: 'configuration in force' },
  badConfiguration: { id: 8106, level: 'error', message: 'a configuration could not be read: upgrade' },
  weightsNamed: { id: 8107, level: 'info', message: 'newer weights are wanted' },
  targetChanged: { id: 8108, level: 'info', message: 'a target changed its state' },
  controlFollowed: { id: 8109, level: 'info', message: 'follows a control instance' },
  controlLost: { id: 8110, level: 'warn', message: 'lost a control instance' },
  confirmed: { id: 8111, level: 'info', message: 'a quorum confirms what is held' },
  notTold: { id: 8112, level: 'warn', message: 'a control instance does not take what it is told' },
  reportsEnded: { id: 8114, level: 'info', message: 'a stream of reports to a control instance ended' },
  toldAgain: { id: 8113, level: 'info', message: 'a control instance takes what it is told again' },
});
