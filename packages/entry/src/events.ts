/** Log events of the entry role. */
import { defineEvents } from '@jasmineroute/core';

export const entryEvents = defineEvents({
  listening: { id: 5000, level: 'info', message: 'listening for callers' },
  requestRefused: { id: 5001, level: 'info', message: 'request answered with an error' },
  requestFailed: { id: 5002, level: 'warn', message: 'request failed after it may have run' },
  badConnection: { id: 5003, level: 'info', message: 'invalid request on a connection from a caller' },
  callerGone: { id: 5004, level: 'debug', message: 'caller disconnected before its answer was complete' },
  callerStalled: { id: 5005, level: 'warn', message: 'caller disconnected for not reading its answer' },
  streamSilent: { id: 5006, level: 'warn', message: 'connection to a gate closed after it went silent' },
  streamResumed: { id: 5007, level: 'info', message: 'stream resumed at its gate' },
  streamLost: { id: 5008, level: 'warn', message: 'stream could not be resumed at its gate' },
  streamContinued: { id: 5009, level: 'info', message: 'answer continued on another target' },
  answerMismatch: { id: 5010, level: 'error', message: 'stream carried an event of another request' },
  attemptRetried: { id: 5011, level: 'info', message: 'request retried on another target' },
  claimUnsettled: { id: 5012, level: 'warn', message: 'outcome of a claimed request was not recorded' },
  claimTakenOver: { id: 5013, level: 'info', message: 'claim taken over from an entry that no longer runs' },
  draining: { id: 5014, level: 'info', message: 'planned stop: finishing open requests' },
  drained: { id: 5015, level: 'info', message: 'planned stop: all requests finished' },
  connectionEnded: {
    id: 5017,
    level: 'info',
    message: "planned stop: a caller's connection has ended, by whom and with what was left",
  },
  unfinished: { id: 5018, level: 'warn', message: 'planned stop: connections are closed under answers' },
  waitingRefused: {
    id: 5019,
    level: 'info',
    message: 'request refused, as its body was too long to wait for the answers before it',
  },
  endedUnanswered: {
    id: 5020,
    level: 'warn',
    message: "this side ended callers' connections with requests on them that had no complete answer",
  },
  unexpected: { id: 5016, level: 'error', message: 'unexpected error in a request' },
});
