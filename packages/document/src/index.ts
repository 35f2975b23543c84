/** Service documents: what operators write. */
export * from './accepted/index.js';
export * from './customer/index.js';
export * from './difference/index.js';
export * from './idempotency/index.js';
export * from './parse/index.js';
export * from './pattern/index.js';
export * from './reference/index.js';
export * from './route/index.js';
export * from './schema/index.js';
export * from './together/index.js';
