export * from './dialect.js';
