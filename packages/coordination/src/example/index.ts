/** The example: embedding the replicated log. */
export * from './embed.js';
export * from './wordCounter.js';
