export * from './difference.js';
