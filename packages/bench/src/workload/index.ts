export * from './workload.js';
