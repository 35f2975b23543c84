export * from './answer.js';
export * from './boundary.js';
export * from './continuation.js';
export * from './keeper.js';
export * from './progress.js';
export * from './rewriter.js';
