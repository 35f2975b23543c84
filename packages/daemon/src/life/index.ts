export * from './incarnation.js';
export * from './life.js';
export * from './runtime.js';
export * from './tls.js';
