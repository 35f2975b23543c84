/** Example that embeds the replicated log. */
export * from './embed.js';
export * from './wordCounter.js';
