/** What the agent knows of its target. */
export * from './cacheWatch.js';
export * from './engineWatch.js';
export * from './incarnation.js';
