/** Events of the log itself. */
import type { EventKind } from './event/event.js';

export const coreEvents = {
  linesLost: { id: 1000, level: 'warn', message: 'log lines were dropped, as they could not be written' },
} as const satisfies Record<string, EventKind>;
