export * from './incarnation.js';
export * from './life.js';
export * from './tls.js';
