export * from './reference.js';
