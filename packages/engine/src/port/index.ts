export * from './engine.js';
