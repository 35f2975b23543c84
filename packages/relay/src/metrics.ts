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
  sendingWait: {
    name: 'relay.sending.wait',
    type: 'timing',
    help: 'Time from the choice of a target to the first byte that is written to it',
  },
  takenBack: {
    name: 'relay.sending.taken_back',
    type: 'counter',
    help: 'Requests that were not written because their target had stopped accepting work meanwhile, by its state',
  },
  resumed: {
    name: 'relay.stream.resumed',
    type: 'counter',
    help: 'Requests to go on with a stream that broke, by outcome',
  },
  originsDecided: {
    name: 'relay.stream.origins',
    type: 'counter',
    help: 'Streams that callers resume, by how their software version was decided (own, lookup, sole) or why it was not',
  },
  continued: {
    name: 'relay.stream.continued',
    type: 'counter',
    help: 'Streams that went on at another target within one answer, by whether that has the same software version',
  },
  handovers: {
    name: 'relay.stream.handover',
    type: 'counter',
    help: 'Targets that were asked to take a stream while its own one still served it, by what came of it (taken, or the fault)',
  },
  left: {
    name: 'relay.stream.left',
    type: 'counter',
    help: 'Streams that left a target which had not broken them off, by reason (paused, unresponsive)',
  },
  brokenOff: {
    name: 'relay.answer.broken_off',
    type: 'counter',
    help: 'Answers that ended inside, by why no other target went on',
  },
  unproven: {
    name: 'relay.stream.unproven',
    type: 'counter',
    help: 'Streams that did not go on at a target because another start of it may have answered',
  },
  brokenTargets: {
    name: 'relay.target.broken',
    type: 'counter',
    help: 'Targets that broke off answers, by whether they had ended, were alive or had announced to leave',
  },
  brokenRequests: {
    name: 'relay.target.broken_requests',
    type: 'counter',
    help: 'Requests whose answers targets broke off, by whether their target had ended and whether their prompts have shared parts',
  },
  suspects: {
    name: 'relay.quarantine.suspects',
    type: 'gauge',
    help: 'Requests and prompt parts that were running at targets when these crashed, as far as this entry knows',
  },
  open: { name: 'relay.request.open', type: 'gauge', help: 'Requests in progress' },
});
