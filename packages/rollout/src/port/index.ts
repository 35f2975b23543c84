export * from './port.js';
