export * from './coalescer.js';
export * from './recentReports.js';
