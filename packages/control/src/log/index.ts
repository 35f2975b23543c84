export * from './commandLog.js';
export * from './proposer.js';
