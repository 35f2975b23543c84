/** Routing decisions: which target takes a request, and whether any should. */
export * from './policy/index.js';
export * from './prefix/index.js';
