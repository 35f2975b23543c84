export * from './admissions.js';
export * from './background.js';
export * from './context.js';
export * from './decisions.js';
export * from './job.js';
export * from './work.js';
