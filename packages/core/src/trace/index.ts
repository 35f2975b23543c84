export * from './setup.js';
export * from './trace.js';
