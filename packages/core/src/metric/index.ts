export * from './metric.js';
