/** Failure detection over named members, for any number of observers. */
export * from './failureDetector.js';
export * from './member.js';
export * from './settings.js';
