/** Validation of incoming requests between processes. */
export * from './requiredFields.js';
