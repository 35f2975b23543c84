export * from './originLookup.js';
export * from './streamOrigins.js';
