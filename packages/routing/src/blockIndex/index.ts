export * from './blockIndex.js';
export * from './change.js';
