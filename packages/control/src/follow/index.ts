export * from './followService.js';
export * from './enlisting.js';
export * from './otherControls.js';
export * from './referral.js';
