export * from './acceptBacklog.js';
export * from './stallWatch.js';
