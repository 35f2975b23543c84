export * from './host.js';
export * from './schema.js';
