/** Fault-injecting proxy, process launcher and cluster launcher for tests and benches. Not for products. */
export * from './process/index.js';
export * from './proxy/index.js';
export * from './wait/index.js';
