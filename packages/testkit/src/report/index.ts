export * from './report.js';
