export * from './crashWatch.js';
