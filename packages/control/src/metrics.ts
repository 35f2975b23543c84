/** Metrics of the control role. */
import { defineMetrics } from '@jasmineroute/core';

export const controlMetrics = defineMetrics({
  applies: { name: 'control.document.applies', type: 'counter', help: 'Document changes, by outcome' },
  applyTime: {
    name: 'control.document.duration',
    type: 'timing',
    help: 'Time from the apply call to its outcome',
  },
  claims: { name: 'control.claim.requests', type: 'counter', help: 'Claim requests, by the state returned' },
  claimTime: { name: 'control.claim.duration', type: 'timing', help: 'Duration of a claim request' },
  unreadableCalls: {
    name: 'control.target.unreadable',
    type: 'counter',
    help: 'Calls of targets, and entries of their lists, that could not be parsed',
  },
  leaves: {
    name: 'control.target.leaves',
    type: 'counter',
    help: 'Leave calls of targets, by effect',
  },
  claimsHeld: { name: 'control.claim.held', type: 'gauge', help: 'Claims in the table' },
  suspects: {
    name: 'control.quarantine.suspects',
    type: 'gauge',
    help: 'Requests that were running at targets when these crashed, and have not ended well since',
  },
  quarantined: {
    name: 'control.quarantine.held',
    type: 'gauge',
    help: 'Requests that are no longer sent to targets',
  },
  suspectParts: {
    name: 'control.quarantine.suspect_parts',
    type: 'gauge',
    help: 'Prompt parts that were running at targets when these crashed, and have not been answered well since',
  },
  heldParts: {
    name: 'control.quarantine.held_parts',
    type: 'gauge',
    help: 'Prompt parts that are sent to targets as trials only, or no longer',
  },
  storeFailures: {
    name: 'control.store.monitor_failures',
    type: 'counter',
    help: 'Failures of the monitor of a cache store',
  },
  originsHeld: { name: 'control.origin.held', type: 'gauge', help: 'Origins of streams held' },
  originLookups: {
    name: 'control.origin.lookups',
    type: 'counter',
    help: 'Streams whose origin was requested, by whether it is known here',
  },
  turns: {
    name: 'control.turn.requests',
    type: 'counter',
    help: 'Turn requests, by whether the turn was granted',
  },
  folderHeld: {
    name: 'control.folder.held',
    type: 'gauge',
    help: 'Bytes that the data folder holds, by part',
  },
  folderLargest: {
    name: 'control.folder.largest',
    type: 'gauge',
    help: 'The most bytes that the data folder has held since the start',
  },
  folderFree: {
    name: 'control.folder.free',
    type: 'gauge',
    help: 'Bytes that the file system of the data folder has left; absent where it does not tell',
  },
  revision: { name: 'control.revision', type: 'gauge', help: 'Newest document revision' },
  vouched: {
    name: 'control.vouched',
    type: 'gauge',
    help: '1 while in touch with a quorum, 0 otherwise',
  },
});
