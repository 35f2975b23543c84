/** The gate: what entries may ask of the target. */
export * from './gate.js';
export * from './target.js';
