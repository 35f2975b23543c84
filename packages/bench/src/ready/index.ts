export * from './ready.js';
