/** Distribution of documents, targets and instances to all processes, and membership of instances. */
export * from './call/index.js';
export * from './client/index.js';
export * from './events.js';
export * from './membership/index.js';
export * from './message/index.js';
export * from './metrics.js';
export * from './server/index.js';
export * from './view/index.js';
