export * from './check.js';
export * from './use.js';
