export * from './prefillCost.js';
export * from './placement.js';
export * from './weights.js';
