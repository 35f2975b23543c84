export * from './registry.js';
