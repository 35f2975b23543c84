/** Service documents: what operators write. */
export * from './schema/index.js';
