export * from './copiedReporter.js';
export * from './copySenders.js';
