/** Routing decisions: which target takes a request, and whether any should. */
export * from './admission/index.js';
export * from './blockIndex/index.js';
export * from './fairness/index.js';
export * from './firstToken/index.js';
export * from './limit/index.js';
export * from './policy/index.js';
export * from './prefix/index.js';
export * from './retry/index.js';
export * from './target/index.js';
