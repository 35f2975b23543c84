/** Embeddable coordination: durable storage, a replicated log and failure detection. */
export * from './agreement/index.js';
export * from './events.js';
export * from './membership/index.js';
export * from './metrics.js';
export * from './storage/index.js';
