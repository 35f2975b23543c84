export * from './partKey.js';
