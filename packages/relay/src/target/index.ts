export * from './targetPools.js';
export * from './targetState.js';
