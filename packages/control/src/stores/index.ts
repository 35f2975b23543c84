export * from './keptParts.js';
export * from './storeWatch.js';
