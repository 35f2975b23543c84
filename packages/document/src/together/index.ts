export * from './together.js';
