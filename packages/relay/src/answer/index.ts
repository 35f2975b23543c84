export * from './callerAnswer.js';
export * from './eventPieces.js';
