export * from './estimate.js';
export * from './policy.js';
export * from './random.js';
export * from './registry.js';
export * from './rendezvousHash.js';
export type { CostOptions, RecomputeWeight } from './costs.js';
export { LowestCost } from './weighing.js';
export type { LowestCostOptions } from './weighing.js';
