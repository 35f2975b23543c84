export * from './customerLimits.js';
export * from './rules.js';
export * from './tokenBucket.js';
