/** Numbered events of the entry role. */
import { defineEvents } from '@jasmineroute/core';

export const entryEvents = defineEvents({
  listening: { id: 5000, level: 'info', message: 'callers are served' },
  requestRefused: { id: 5001, level: 'info', message: 'request answered with an error' },
  requestFailed: { id: 5002, level: 'warn', message: 'request failed after it may have run' },
  badConnection: { id: 5003, level: 'info', message: "caller's bytes are no valid request" },
  callerGone: { id: 5004, level: 'debug', message: 'caller hung up before its answer was whole' },
  callerStalled: { id: 5005, level: 'warn', message: 'caller took nothing of its answer for too long' },
  streamSilent: { id: 5006, level: 'warn', message: 'connection to a gate went silent and was cut' },
  streamResumed: { id: 5007, level: 'info', message: 'stream resumed at its gate' },
  streamLost: { id: 5008, level: 'warn', message: 'stream could not be resumed at its gate' },
  streamContinued: { id: 5009, level: 'info', message: 'answer continues on another target' },
  answerMismatch: { id: 5010, level: 'error', message: 'event of another request on a stream' },
  attemptRetried: { id: 5011, level: 'info', message: 'request goes to another target' },
  claimUnsettled: { id: 5012, level: 'warn', message: 'outcome of a claimed request was not recorded' },
  claimTakenOver: { id: 5013, level: 'info', message: 'claim of an entry that is gone was taken over' },
  draining: { id: 5014, level: 'info', message: 'planned stop: finishing open requests' },
  drained: { id: 5015, level: 'info', message: 'planned stop: all requests finished' },
  unexpected: { id: 5016, level: 'error', message: 'unexpected error in a request' },
});
