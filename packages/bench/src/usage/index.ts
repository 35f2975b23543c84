export * from './usage.js';
