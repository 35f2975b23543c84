export * from './id.js';
