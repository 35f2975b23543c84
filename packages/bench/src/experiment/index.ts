export * from './capacity.js';
export * from './command.js';
export * from './experiment.js';
export * from './fault.js';
export * from './result.js';
export * from './run.js';
export * from './settings.js';
export * from './summary.js';
