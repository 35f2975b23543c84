export * from './placement.js';
export * from './weights.js';
