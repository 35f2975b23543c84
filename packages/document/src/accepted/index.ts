export * from './accepted.js';
