export * from './answerBuffer.js';
export * from './callerAnswer.js';
export * from './eventFramer.js';
