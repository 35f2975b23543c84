export * from './certificate.js';
