export * from './exit.js';
