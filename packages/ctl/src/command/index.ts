export * from './program.js';
