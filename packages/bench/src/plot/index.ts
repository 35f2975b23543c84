export * from './command.js';
export * from './series.js';
export * from './svg.js';
export * from './terminal.js';
