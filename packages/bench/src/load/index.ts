export * from './check.js';
export * from './command.js';
export * from './drive.js';
export * from './reader.js';
export * from './record.js';
export * from './report.js';
export * from './send.js';
export * from './settings.js';
