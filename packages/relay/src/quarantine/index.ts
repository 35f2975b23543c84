export * from './crashWatch.js';
export * from './quarantine.js';
export * from './suspectRuns.js';
export * from './trials.js';
