export * from './copies.js';
export * from './storeLink.js';
