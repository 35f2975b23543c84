export * from './schema.js';
