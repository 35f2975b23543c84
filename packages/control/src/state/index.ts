export * from './controlState.js';
export * from './feature.js';
