/** Ports and small utilities shared by all packages. */
export * from './address/index.js';
export * from './clock/index.js';
export * from './event/index.js';
export * from './fault/index.js';
export * from './id/index.js';
export * from './metric/index.js';
export * from './registry/index.js';
export * from './setting/index.js';
export * from './stall/index.js';
export * from './task/index.js';
export * from './trace/index.js';
