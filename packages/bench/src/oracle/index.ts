export * from './oracle.js';
