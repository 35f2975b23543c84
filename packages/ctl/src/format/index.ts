export * from './json.js';
export * from './table.js';
