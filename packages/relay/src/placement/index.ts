export * from './lack.js';
export * from './placement.js';
export * from './weights.js';
