export * from './terminal.js';
