export * from './chain.js';
export * from './levels.js';
