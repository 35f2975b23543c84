export * from './storage/index.js';
export * from './membership/index.js';
