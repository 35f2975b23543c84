/** Errors of listeners, which nobody else waits for: a connection that could not be accepted, for want of a descriptor. */
import type { EventEmitter } from 'node:events';
import { coreEvents } from '../events.js';
import type { Log } from './event.js';
import { ProblemTally } from './problemTally.js';

/** Logs errors of a server that listens; without a listener for them, each would end the process. */
export function logListenerErrors(server: EventEmitter, listener: string, log: Log): void {
  const tally = new ProblemTally(log, coreEvents.listenerError);
  server.on('error', (error) => {
    tally.record(listener, String(error));
  });
}
