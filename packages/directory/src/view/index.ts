export * from './view.js';
