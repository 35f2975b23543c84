/** Fault-injecting proxy, process launcher and cluster launcher for tests and benches. Not for products. */
export * from './callers/index.js';
export * from './cluster/index.js';
export * from './machine/index.js';
export * from './port/index.js';
export * from './process/index.js';
export * from './proxy/index.js';
export * from './report/index.js';
export * from './stall/index.js';
export * from './wait/index.js';
export * from './certificate/index.js';
