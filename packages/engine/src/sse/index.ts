export * from './scanner.js';
export * from './messages.js';
