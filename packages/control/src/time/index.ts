export * from './logTimeAdvancer.js';
