export * from './chain.js';
