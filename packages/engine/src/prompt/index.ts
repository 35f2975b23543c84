export * from './schema.js';
export * from './prompt.js';
