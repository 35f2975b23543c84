export * from './processorShare.js';
