/** Events that are the same in all processes. */
import type { EventKind } from './event/event.js';

export const coreEvents = {
  linesLost: { id: 1000, level: 'warn', message: 'log lines were dropped, as they could not be written' },
  listenerError: {
    id: 1001,
    level: 'warn',
    message: 'a listener met an error, such as a connection not accepted',
  },
} as const satisfies Record<string, EventKind>;
