/** Metrics of the entry role. */
import { defineMetrics } from '@jasmineroute/core';

export const entryMetrics = defineMetrics({
  requests: { name: 'entry.request.count', type: 'counter', help: 'Requests answered, by status and code' },
  duration: {
    name: 'entry.request.duration',
    type: 'timing',
    help: 'Time from the request to the end of the answer',
  },
  firstByte: {
    name: 'entry.request.first_byte',
    type: 'timing',
    help: 'Time from the request to the first body byte',
  },
  decision: { name: 'entry.decision.duration', type: 'timing', help: 'Time to choose a target' },
  open: { name: 'entry.request.open', type: 'gauge', help: 'Requests in progress' },
  connections: { name: 'entry.connection.open', type: 'gauge', help: "Callers' open connections" },
  connectionEnds: {
    name: 'entry.connection.ended',
    type: 'counter',
    help: "Ends of callers' connections, by who ended them and why",
  },
  unanswered: {
    name: 'entry.connection.unanswered',
    type: 'counter',
    help: 'Requests without a complete answer at the end of their connection, by who ended it and whether they were handled',
  },
  bufferedBytes: {
    name: 'entry.request.buffered_bytes',
    type: 'gauge',
    help: 'Bytes of buffered request bodies',
  },
  attempts: { name: 'entry.attempt.count', type: 'counter', help: 'Attempts sent to gates, by outcome' },
  resumes: { name: 'entry.stream.resumed', type: 'counter', help: 'Streams resumed at their gate' },
  continuations: {
    name: 'entry.stream.continued',
    type: 'counter',
    help: 'Answers continued on another target',
  },
  silences: {
    name: 'entry.stream.silent',
    type: 'counter',
    help: 'Connections to gates closed after going silent',
  },
  hangUps: {
    name: 'entry.caller.hang_up',
    type: 'counter',
    help: 'Callers that disconnected before their answer was complete',
  },
  replays: { name: 'entry.claim.replayed', type: 'counter', help: 'Retries answered with the stored answer' },
  claims: { name: 'entry.claim.duration', type: 'timing', help: 'Time to store a claim' },
});
