export * from './backlog.js';
export * from './pace.js';
export * from './targetPools.js';
export * from './targetState.js';
export * from './workReporter.js';
