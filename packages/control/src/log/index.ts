export * from './commandLog.js';
export * from './disklessLog.js';
export * from './proposer.js';
