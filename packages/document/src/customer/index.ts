export * from './customer.js';
export * from './key.js';
