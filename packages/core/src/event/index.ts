export * from './event.js';
export * from './listenerErrors.js';
export * from './problemTally.js';
