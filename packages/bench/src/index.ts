/** Stand-ins of engines, plain services and stores, and the load and experiment tool. */
export * from './engine/index.js';
export * from './plain/index.js';
export * from './random/index.js';
export * from './ready/index.js';
export * from './store/index.js';
