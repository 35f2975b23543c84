export * from './wait.js';
