export * from './originLookup.js';
export * from './originReporter.js';
export * from './streamOrigins.js';
