export * from './folder.js';
