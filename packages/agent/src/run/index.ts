/** Runs: executing an attempt at the target and buffering its events for readers. */
export * from './attempts.js';
export * from './buffer.js';
export * from './context.js';
export * from './last.js';
export * from './reader.js';
export * from './run.js';
