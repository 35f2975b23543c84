/** Log events of the subscription to control instances and of the reports to them. */
import { defineEvents } from '@jasmineroute/core';

export const knowledgeEvents = defineEvents({
  configured: { id: 8105, level: 'info', message: 'configuration in force' },
  configurationUnreadable: {
    id: 8106,
    level: 'error',
    message: 'received a configuration that this version can not read: upgrade this process',
  },
  weightsNamed: { id: 8107, level: 'info', message: 'newer weights were requested for a model' },
  targetChanged: { id: 8108, level: 'info', message: 'a target changed its state' },
  controlFollowed: { id: 8109, level: 'info', message: 'subscribed to a control instance' },
  controlLost: { id: 8110, level: 'warn', message: 'lost the subscription to a control instance' },
  confirmed: { id: 8111, level: 'info', message: 'a quorum confirms what is held' },
  controlUnreachable: { id: 8112, level: 'warn', message: 'a control instance does not accept reports' },
  reportsEnded: { id: 8114, level: 'info', message: 'the report stream to a control instance ended' },
  controlReachable: { id: 8113, level: 'info', message: 'a control instance accepts reports again' },
});
