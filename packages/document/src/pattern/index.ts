export * from './pattern.js';
