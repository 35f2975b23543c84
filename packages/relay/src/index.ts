/** An entry that routes requests directly to self-announcing targets, according to numbered configurations. */
export * from './answer/index.js';
export * from './cache/index.js';
export * from './dialect/index.js';
export * from './events.js';
export * from './metrics.js';
export * from './placement/index.js';
export * from './relay.js';
export * from './setting/index.js';
export * from './target/index.js';
export * from './work/index.js';
