export * from './activeWait.js';
export * from './clock.js';
export * from './manualClock.js';
export * from './systemClock.js';
