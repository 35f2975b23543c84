export * from './acceptBacklog.js';
export * from './stallWatch.js';
export * from './turnQueue.js';
