export * from './rules.js';
export * from './tokenBucket.js';
