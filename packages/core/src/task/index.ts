/** Tasks that must run as long as their process, and tasks that serve one of many. */
export * from './criticalTask.js';
export * from './supervisedTask.js';
