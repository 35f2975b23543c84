export * from './fingerprint.js';
