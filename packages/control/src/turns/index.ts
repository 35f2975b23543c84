export * from './turnService.js';
export * from './turnState.js';
