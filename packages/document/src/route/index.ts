export * from './route.js';
