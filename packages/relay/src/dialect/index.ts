export * from './dialect.js';
export * from './packedFields.js';
