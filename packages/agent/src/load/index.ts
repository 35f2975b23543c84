/** The queue of the target and measurements of its speed. */
export * from './meter.js';
export * from './slots.js';
