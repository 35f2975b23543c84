/** Routing decisions: admission control and the choice of a target for a request. */
export * from './admission/index.js';
export * from './blockIndex/index.js';
export * from './fairness/index.js';
export * from './firstToken/index.js';
export * from './limit/index.js';
export * from './policy/index.js';
export * from './prefix/index.js';
export * from './retry/index.js';
export * from './target/index.js';
