/** Orders to the target: from the documents to what the engine has loaded. */
export * from './assignment.js';
export * from './executor.js';
export * from './serving.js';
export * from './settled.js';
export * from './step.js';
export * from './stepTurns.js';
export * from './turn.js';
