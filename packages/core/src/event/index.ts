export * from './event.js';
