/** The entry role: accepts callers' requests, chooses targets and streams the answers. */
export * from './answer/index.js';
export * from './call/index.js';
export * from './claim/index.js';
export * from './entry.js';
export * from './events.js';
export * from './gate/index.js';
export * from './http/index.js';
export * from './metrics.js';
export * from './setting/index.js';
export * from './work/index.js';
