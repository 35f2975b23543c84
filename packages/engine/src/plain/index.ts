/** The adapter for plain services. */
export * from './plainTarget.js';
