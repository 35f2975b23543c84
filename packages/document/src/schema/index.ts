export * from './schema.js';
export { duration } from './primitive.js';
