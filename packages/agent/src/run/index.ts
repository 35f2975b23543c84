/** Runs: executing an attempt at the target and buffering its events for readers. */
export * from './attempts.js';
export * from './eventBuffer.js';
export * from './runContext.js';
export * from './finalEvent.js';
export * from './eventReader.js';
export * from './run.js';
