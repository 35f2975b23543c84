/** One run: its events, and the task that gets them from the target. */
export * from './attempts.js';
export * from './buffer.js';
export * from './context.js';
export * from './last.js';
export * from './reader.js';
export * from './run.js';
