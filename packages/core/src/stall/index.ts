export * from './acceptBacklog.js';
export * from './stallWatch.js';
export * from './turnBudget.js';
export * from './turnQueue.js';
