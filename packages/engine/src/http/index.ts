/** The adapter for engines that speak docs/engine-protocol.md. */
export * from './httpEngine.js';
export * from './schema.js';
