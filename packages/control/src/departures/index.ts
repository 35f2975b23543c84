export * from './departureService.js';
