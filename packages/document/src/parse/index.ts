export * from './parse.js';
export * from './problem.js';
