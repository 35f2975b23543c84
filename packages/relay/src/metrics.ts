/** Metrics of the relaying entry. */
import { defineMetrics } from '@jasmineroute/core';

export const relayMetrics = defineMetrics({
  requests: { name: 'relay.request.count', type: 'counter', help: 'Requests, by route kind and outcome' },
  duration: {
    name: 'relay.request.duration',
    type: 'timing',
    help: 'Time from the request to the end of its answer',
  },
  firstByte: {
    name: 'relay.request.first_byte',
    type: 'timing',
    help: 'Time from the request to the first body byte',
  },
  attempts: { name: 'relay.attempt.count', type: 'counter', help: 'Requests sent to targets, by outcome' },
  open: { name: 'relay.request.open', type: 'gauge', help: 'Requests in progress' },
});
