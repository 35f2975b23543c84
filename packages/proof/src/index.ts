/** Proofs under failure. The specs start the built programs; run them through `npm test`. */
export * from './fixture/index.js';
