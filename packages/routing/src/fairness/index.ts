export * from './fairQueue.js';
