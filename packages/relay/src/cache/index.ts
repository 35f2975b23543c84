export * from './copies.js';
