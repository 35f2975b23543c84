/** Brings named weights to the target beside this process. */
export * from './events.js';
export * from './keeper/index.js';
export * from './port/index.js';
export * from './rollout.js';
