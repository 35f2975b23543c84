export * from './originFormat.js';
export * from './originStore.js';
