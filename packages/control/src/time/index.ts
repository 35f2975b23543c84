export * from './timeKeeper.js';
