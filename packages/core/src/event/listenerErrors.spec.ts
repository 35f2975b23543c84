import { createServer } from 'node:net';
import { describe, expect, it } from 'vitest';
import { coreEvents } from '../events.js';
import type { Log } from './event.js';
import { logListenerErrors } from './listenerErrors.js';

describe('errors of a listener', () => {
  // Guards against a process that ends, and cuts all that it answers, as one connection can't be accepted.
  it('are logged with a bounded number of lines', () => {
    const lines: unknown[] = [];
    const log: Log = { event: ({ id }, fields) => lines.push([id, fields]), with: () => log };
    const server = createServer();
    logListenerErrors(server, 'callers', log);
    const problem = 'Error: accept EMFILE';
    for (let at = 0; at < 99; at += 1) server.emit('error', new Error('accept EMFILE'));
    expect(lines).toEqual([
      [coreEvents.listenerError.id, { source: 'callers', problem, count: 1 }],
      [coreEvents.listenerError.id, { source: 'callers', problem, count: 10 }],
    ]);
  });
});
