/** Numbered configurations: one change over all services at once. */
export * from './check/index.js';
export * from './schema/index.js';
export * from './table/index.js';
