export * from './issue.js';
export * from './line.js';
export * from './parse.js';
export * from './problem.js';
