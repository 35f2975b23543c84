/** Logged events of the directory. */
import { defineEvents } from '@jasmineroute/core';

export const directoryEvents = defineEvents({
  watchOpened: { id: 3500, level: 'info', message: 'watching a source of documents and instances' },
  watchLost: { id: 3501, level: 'warn', message: 'the watch ended; moving to another source' },
  watchSilent: { id: 3502, level: 'warn', message: 'the watch went silent; its connection is dropped' },
  watchUnvouched: {
    id: 3503,
    level: 'warn',
    message: 'the control instance is out of touch with its quorum; moving to another',
  },
  documentUnreadable: {
    id: 3504,
    level: 'error',
    message: 'an accepted document could not be read; the older one stays in force',
  },
  beatFailed: { id: 3505, level: 'debug', message: 'a beat was not answered' },
  superseded: { id: 3506, level: 'error', message: 'a newer process has this name; this one must stop' },
  leaveHeard: { id: 3507, level: 'info', message: 'the leaving of this process was heard' },
  leaveUnheard: { id: 3508, level: 'warn', message: 'no control instance heard that this process leaves' },
  keptFileIgnored: { id: 3509, level: 'warn', message: 'the kept file is damaged and is not used' },
  keptFileLoaded: { id: 3510, level: 'info', message: 'started from the kept file' },
  keptFileFailed: { id: 3511, level: 'warn', message: 'the kept file could not be written' },
  documentRebuilt: {
    id: 3512,
    level: 'warn',
    message: 'a change did not fit the document held here; the whole is asked for',
  },
  stateChanged: { id: 3513, level: 'info', message: 'an instance changed its state' },
  exchangeFailed: { id: 3514, level: 'warn', message: 'a control instance did not take the exchange' },
  exchangeRestored: { id: 3515, level: 'info', message: 'a control instance takes the exchange again' },
});
