/** What waits and runs at the target, and how fast it is. */
export * from './meter.js';
export * from './slots.js';
