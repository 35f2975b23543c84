export * from './stallWatch.js';
