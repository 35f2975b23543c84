/** Tasks that must run as long as their process. */
export * from './criticalTask.js';
