/** Monitoring of the target: its health, incarnation and cache. */
export * from './cacheWatch.js';
export * from './engineWatch.js';
export * from './incarnation.js';
