export * from './idempotency.js';
