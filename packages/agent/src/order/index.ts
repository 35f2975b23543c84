/** Orders that bring the models loaded by the engine in line with the document. */
export * from './assignment.js';
export * from './executor.js';
export * from './otherServers.js';
export * from './settledNames.js';
export * from './step.js';
export * from './stepTurns.js';
export * from './turn.js';
