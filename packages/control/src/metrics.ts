/** What the control role measures. */
import { defineMetrics } from '@jasmineroute/core';

export const controlMetrics = defineMetrics({
  applies: { name: 'control.document.applies', type: 'counter', help: 'Changes of documents, by outcome' },
  applyTime: { name: 'control.document.duration', type: 'timing', help: 'Time from apply to outcome' },
  claims: { name: 'control.claim.requests', type: 'counter', help: 'Claims, by state answered' },
  claimTime: { name: 'control.claim.duration', type: 'timing', help: 'Time of a claim' },
  unreadableCalls: {
    name: 'control.target.unreadable',
    type: 'counter',
    help: 'Calls in the name of targets, and entries of their lists, that could not be read',
  },
  claimsHeld: { name: 'control.claim.held', type: 'gauge', help: 'Claims in the table' },
  turns: { name: 'control.turn.requests', type: 'counter', help: 'Turns asked for, by whether granted' },
  revision: { name: 'control.revision', type: 'gauge', help: 'Revision of the documents' },
  vouched: { name: 'control.vouched', type: 'gauge', help: '1 while in touch with a quorum' },
});
