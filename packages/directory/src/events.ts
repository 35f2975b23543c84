/** Log events of the directory. */
import { defineEvents } from '@jasmineroute/core';

export const directoryEvents = defineEvents({
  watchOpened: { id: 3500, level: 'info', message: 'receiving documents and instances from a source' },
  watchLost: { id: 3501, level: 'warn', message: 'watch stream ended; switching to another source' },
  watchSilent: {
    id: 3502,
    level: 'warn',
    message: 'no event on the watch stream in time; switching to another source',
  },
  watchWithoutQuorum: {
    id: 3503,
    level: 'warn',
    message: 'the control instance has lost its quorum; switching to another',
  },
  documentUnreadable: {
    id: 3504,
    level: 'error',
    message: 'cannot read an accepted document; keeping the previous version',
  },
  heartbeatFailed: { id: 3505, level: 'debug', message: 'heartbeat not acknowledged' },
  superseded: { id: 3506, level: 'error', message: 'a newer process uses this name; this process must stop' },
  leaveAcknowledged: {
    id: 3507,
    level: 'info',
    message: 'a control instance acknowledged that this process is leaving',
  },
  leaveUnacknowledged: {
    id: 3508,
    level: 'warn',
    message: 'no control instance acknowledged that this process is leaving',
  },
  stateFileIgnored: { id: 3509, level: 'warn', message: 'the saved state cannot be read; ignoring it' },
  stateFileLoaded: { id: 3510, level: 'info', message: 'started with the saved state' },
  stateFileWriteFailed: { id: 3511, level: 'warn', message: 'cannot save the state to disk' },
  documentEditsRejected: {
    id: 3512,
    level: 'warn',
    message: 'document edits do not apply to the local version; requesting the full document',
  },
  stateChanged: { id: 3513, level: 'info', message: 'health of an instance changed' },
  exchangeFailed: { id: 3514, level: 'warn', message: 'membership exchange with a control instance failed' },
  exchangeRestored: {
    id: 3515,
    level: 'info',
    message: 'membership exchange with a control instance works again',
  },
});
