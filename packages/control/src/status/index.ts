export * from './documentSource.js';
export * from './statusReport.js';
