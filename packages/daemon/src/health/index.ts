export * from './health.js';
