export * from './estimate.js';
export * from './policy.js';
export * from './random.js';
export * from './registry.js';
export * from './rendezvousHash.js';
export type { CostOptions, RecomputeWeight } from './costModel.js';
export { LowestCost } from './lowestCost.js';
export type { LowestCostOptions } from './lowestCost.js';
