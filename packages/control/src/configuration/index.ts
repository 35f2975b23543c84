export * from './configurationState.js';
export * from './configurationService.js';
