export * from './controlSettings.js';
