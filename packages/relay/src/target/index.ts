export * from './connectionQueue.js';
export * from './backlog.js';
export * from './pace.js';
export * from './targetPools.js';
export * from './targetMonitor.js';
export * from './workReporter.js';
