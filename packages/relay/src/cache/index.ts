export * from './copySchedule.js';
export * from './storeLink.js';
export * from './source.js';
export * from './stores.js';
