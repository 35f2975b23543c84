/** One HTTP exchange with a target, with the truth about what was sent. */
export * from './answer.js';
export * from './connections.js';
export * from './exchange.js';
export * from './failure.js';
