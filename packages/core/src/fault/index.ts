export * from './fault.js';
