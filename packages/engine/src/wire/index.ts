/** HTTP exchanges with a target that track whether the request was sent. */
export * from './answer.js';
export * from './connections.js';
export * from './exchange.js';
export * from './failure.js';
