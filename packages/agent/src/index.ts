/** The agent role: the sidecar process of a target. */
export * from './events.js';
export * from './gate/index.js';
export * from './load/index.js';
export * from './metrics.js';
export * from './order/index.js';
export * from './role/index.js';
export * from './run/index.js';
export * from './setting/index.js';
export * from './watch/index.js';
