export * from './follower.js';
export * from './knowledge.js';
export * from './targetList.js';
