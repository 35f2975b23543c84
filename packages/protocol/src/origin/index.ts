export * from './originTable.js';
export * from './streamKey.js';
