export * from './announcer.js';
export * from './answeredTurns.js';
export * from './loadReporter.js';
export * from './observer.js';
export * from './weightsUpdater.js';
export * from './cacheReporter.js';
