export * from './relayedTargets.js';
export * from './targetBook.js';
