export * from './attempt.js';
export * from './client.js';
export * from './outcome.js';
export * from './watchdog.js';
