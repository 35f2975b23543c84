export * from './storeMonitor.js';
