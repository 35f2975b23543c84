export * from './departureCopies.js';
export * from './departureFormat.js';
export * from './departureService.js';
export * from './departureStore.js';
