/** Numbered events of whoever replaces a target's weights: the process beside it, or a control instance in its place. */
import { defineEvents } from '@jasmineroute/core';

export const rolloutEvents = defineEvents({
  started: { id: 8200, level: 'info', message: 'stands beside a target' },
  behind: { id: 8201, level: 'info', message: 'the target has older weights than were named' },
  ordered: { id: 8202, level: 'info', message: 'order sent to the target' },
  loaded: { id: 8203, level: 'info', message: 'the target has the weights' },
  notLoaded: { id: 8204, level: 'warn', message: 'the weights are not there in time; looked at again' },
  unreachable: { id: 8205, level: 'warn', message: 'the target beside this process does not answer' },
  unobserved: { id: 8206, level: 'warn', message: 'a control instance did not take an observation' },
  cacheUnheard: { id: 8207, level: 'warn', message: 'the target tells nothing of its cache' },
  unreadableEvents: { id: 8209, level: 'warn', message: "some of the target's events can not be read" },
  announced: { id: 8210, level: 'info', message: 'announced the target, which nobody told of' },
  unreadableReport: { id: 8211, level: 'warn', message: "some of the target's models can not be read" },
  notAnnounced: { id: 8212, level: 'info', message: 'the target beside this process does not say who it is' },
  unattended: {
    id: 8213,
    level: 'warn',
    message: 'no process beside the target reports: this control instance brings it weights',
  },
  attended: { id: 8214, level: 'info', message: 'brings the target weights no more' },
  cacheHeard: { id: 8208, level: 'info', message: 'the target tells of its cache again' },
});
