export * from './stall.js';
