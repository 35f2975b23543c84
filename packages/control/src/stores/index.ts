export * from './storeWatch.js';
