export * from './configurationState.js';
export * from './configurationService.js';
export * from './sharing.js';
