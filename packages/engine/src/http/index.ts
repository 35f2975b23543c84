/** Adapter for engines that implement docs/engine-protocol.md. */
export * from './httpEngine.js';
export * from './schema.js';
