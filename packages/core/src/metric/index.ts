export * from './metric.js';
export * from './textMetrics.js';
