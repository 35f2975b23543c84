export * from './estimate.js';
export * from './policy.js';
export * from './registry.js';
export * from './rendezvousHash.js';
