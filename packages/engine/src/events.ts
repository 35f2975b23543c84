/** Log events of the adapters. */
import { defineEvents } from '@jasmineroute/core';

export const engineEvents = defineEvents({
  answerMismatch: { id: 4502, level: 'error', message: 'the target answered with the id of another request' },
  malformedCacheEvent: { id: 4503, level: 'warn', message: 'a cache event of the engine is malformed' },
});
