export * from './event.js';
export * from './problemTally.js';
