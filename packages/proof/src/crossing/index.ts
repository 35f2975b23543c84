export * from './harm.js';
export * from './verdict.js';
