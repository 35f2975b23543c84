export * from './table.js';
