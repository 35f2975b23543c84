/** Rolls out requested weights to targets. */
export * from './events.js';
export * from './metrics.js';
export * from './sidecar/index.js';
export * from './port/index.js';
export * from './rollout.js';
export * from './unattended/index.js';
