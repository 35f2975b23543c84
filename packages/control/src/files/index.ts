export * from './recordFiles.js';
