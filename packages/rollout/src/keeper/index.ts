export * from './observer.js';
export * from './weightsKeeper.js';
