export * from './added.js';
export * from './command.js';
export * from './settings.js';
export * from './stream.js';
