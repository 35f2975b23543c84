export * from './callerAnswer.js';
export * from './eventFramer.js';
