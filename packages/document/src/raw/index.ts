export * from './raw.js';
