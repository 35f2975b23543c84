/** Monitoring of the target: its health, incarnation and cache. */
export * from './cacheSynchroniser.js';
export * from './engineMonitor.js';
export * from './incarnation.js';
