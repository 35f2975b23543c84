export * from './admission.js';
