export * from './targetPools.js';
export * from './targetState.js';
export * from './workReporter.js';
