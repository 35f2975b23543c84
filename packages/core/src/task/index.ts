/** Tasks that last as long as their process. */
export * from './lastingTask.js';
