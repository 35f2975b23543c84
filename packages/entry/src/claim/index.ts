export * from './attemptId.js';
export * from './claims.js';
