export * from './attemptId.js';
export * from './claims.js';
export * from './settler.js';
