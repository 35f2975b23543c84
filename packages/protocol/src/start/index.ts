export * from './targetStart.js';
