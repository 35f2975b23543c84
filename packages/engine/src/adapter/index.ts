export * from './adapter.js';
