export * from './followService.js';
export * from './enlisting.js';
