/** The queue of the target and measurements of its speed. */
export * from './loadMeter.js';
export * from './slots.js';
