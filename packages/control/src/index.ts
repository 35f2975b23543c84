/** The control role: instances that hold the replicated configuration, documents and claims. */
export * from './configuration/index.js';
export * from './events.js';
export * from './metrics.js';
export * from './role/index.js';
export * from './setting/index.js';
export * from './stores/index.js';
export * from './targets/index.js';
