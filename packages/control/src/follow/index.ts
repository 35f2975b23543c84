export * from './followService.js';
export * from './enlisting.js';
export * from './otherControls.js';
