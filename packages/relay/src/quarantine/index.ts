export * from './crashWatch.js';
export * from './quarantine.js';
