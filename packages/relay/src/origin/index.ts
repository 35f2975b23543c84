export * from './originLookup.js';
export * from './streamOrigins.js';
export * from './movedRoutes.js';
export * from './startProofs.js';
