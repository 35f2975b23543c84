export * from './claimService.js';
export * from './claimState.js';
