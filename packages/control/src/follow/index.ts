export * from './followService.js';
export * from './voterRequests.js';
export * from './otherControls.js';
export * from './referral.js';
