export * from './estimate.js';
export * from './policy.js';
export * from './registry.js';
export * from './rendezvousHash.js';
export { Weighing } from './weighing.js';
export type { RecomputeWeight, WeighingOptions } from './weighing.js';
