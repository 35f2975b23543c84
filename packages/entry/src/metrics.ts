/** Metrics of the entry role. */
import { defineMetrics } from '@jasmineroute/core';

export const entryMetrics = defineMetrics({
  requests: { name: 'entry.request.count', type: 'counter', help: 'Requests answered, by status and code' },
  duration: { name: 'entry.request.duration', type: 'timing', help: 'Time from request to end of answer' },
  firstByte: {
    name: 'entry.request.first_byte',
    type: 'timing',
    help: 'Time from request to first body byte',
  },
  decision: { name: 'entry.decision.duration', type: 'timing', help: 'Time to choose a target' },
  open: { name: 'entry.request.open', type: 'gauge', help: 'Requests in work' },
  connections: { name: 'entry.connection.open', type: 'gauge', help: "Callers' open connections" },
  bufferedBytes: { name: 'entry.request.buffered_bytes', type: 'gauge', help: 'Request bodies held' },
  attempts: { name: 'entry.attempt.count', type: 'counter', help: 'Attempts sent to gates, by outcome' },
  resumes: { name: 'entry.stream.resumed', type: 'counter', help: 'Streams resumed at their gate' },
  continuations: { name: 'entry.stream.continued', type: 'counter', help: 'Answers continued elsewhere' },
  silences: { name: 'entry.stream.silent', type: 'counter', help: 'Connections to gates cut for silence' },
  hangUps: {
    name: 'entry.caller.hang_up',
    type: 'counter',
    help: 'Callers gone before their answer was whole',
  },
  replays: { name: 'entry.claim.replayed', type: 'counter', help: 'Resends answered with the kept answer' },
  claims: { name: 'entry.claim.duration', type: 'timing', help: 'Time for a claim to be held' },
});
