export * from './relayedTargets.js';
export * from './targetRegistry.js';
